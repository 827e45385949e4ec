/** Traffic of one customer for one service that is sent to another region, and how fast it may grow. */
export interface RegionMove {
  readonly customer: string
  readonly service: string
  readonly region: string
  /** Growth per second of the limit on requests in flight. */
  readonly growthPerSecond: number
  readonly nowMs: number
}
