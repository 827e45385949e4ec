/** One incarnation of an endpoint as the registry of endpoints describes it. */
export interface EndpointRecord {
  /** Name of the incarnation. */
  readonly id: string
  /** `a.b.c.d:port`; used again by another endpoint some time after this one ended. */
  readonly address: string
  readonly service: string
  readonly zone: string
  /** Requests that it processes at once. */
  readonly slots: number
  readonly isDraining: boolean
  /** Time in ms for which it stays cold from now on, when the entry was written. */
  readonly coldMs: number
  /** Start in ms since the Unix epoch; 0 when it isn't known. */
  readonly bornAtMs: number
}
