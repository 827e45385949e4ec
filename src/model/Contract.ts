/** All limits of one customer. */
export interface Contract {
  readonly customer: string
  /** Version of this contract; raised by each accepted change. */
  readonly version: number
  /** SHA-256 of each accepted credential, in hex. */
  readonly credentialHashes: readonly string[]
  /** Names of the services that the customer may use. */
  readonly services: readonly string[]
  /** Requests per second over all hosts. */
  readonly rate: number
  /** Requests that may come at once on top of the rate, over all hosts. */
  readonly burst: number
  /** Requests in flight over all hosts. */
  readonly concurrency: number
  /** Body bytes per second of bulk work over all hosts. */
  readonly uploadBytesPerSecond: number
  /** Largest fraction of `concurrency` that may be in flight in one region, 0 to 1. */
  readonly regionShare: number
  /** Fraction of a target region's slots by which the customer's work there may grow per second. */
  readonly moveStep: number
  /** Relative weight against other customers when slots are short. */
  readonly priority: number
}
