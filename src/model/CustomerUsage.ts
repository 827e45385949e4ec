/** One host's usage of a customer's cap. */
export interface CustomerUsage {
  readonly customer: string
  /** Requests in flight. */
  readonly inFlight: number
  /** Requests admitted during the last second. */
  readonly rate: number
  /** Requests per second that the host may admit now: its portion minus lent plus borrowed rate. */
  readonly rateHeld: number
  /** Permits that the host holds now. */
  readonly permitsHeld: number
}
