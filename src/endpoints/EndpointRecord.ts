/** Describes one incarnation of an endpoint, as entered in the endpoint registry. */
export interface EndpointRecord {
  /** Unique id of the incarnation. */
  readonly id: string
  /** `a.b.c.d:port`; another endpoint may reuse it some time after this one has ended. */
  readonly address: string
  readonly service: string
  readonly zone: string
  /** Number of requests that the endpoint processes concurrently. */
  readonly slots: number
  readonly isDraining: boolean
  /** Remaining time in ms for which the endpoint is cold, counted from when the entry was written. */
  readonly coldMs: number
  /** Start time in ms since the Unix epoch; 0 when unknown. */
  readonly bornAtMs: number
}
