/** A customer's work for a service in another region, and how fast it may grow. */
export interface MoveInput {
  readonly customer: string
  readonly service: string
  readonly region: string
  /** Growth of the limit per second, in requests in flight. */
  readonly growthPerSecond: number
  readonly nowMs: number
}
