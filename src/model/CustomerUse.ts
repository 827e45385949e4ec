/** What one host uses of a customer's cap. */
export interface CustomerUse {
  readonly customer: string
  /** Requests in flight. */
  readonly inFlight: number
  /** Requests admitted per second, over the last second. */
  readonly rate: number
  /** Requests per second that the host may admit now: portion less lent plus borrowed. */
  readonly rateHeld: number
  /** Permits that the host holds now. */
  readonly permitsHeld: number
}
