/** All limits of one customer. */
export interface Contract {
  readonly customer: string
  /** Version of this contract; raised by each accepted change. */
  readonly version: number
  /** SHA-256 of each accepted credential, in hex. */
  readonly credentialHashes: readonly string[]
  /** Names of the services that the customer may use. */
  readonly services: readonly string[]
  /** Largest sustained number of requests per second over all hosts. */
  readonly rate: number
  /** Capacity of the token bucket: requests admitted at once on top of the rate, over all hosts. */
  readonly burst: number
  /** Largest number of requests in flight over all hosts. */
  readonly concurrency: number
  /** Largest number of body bytes per second of bulk requests over all hosts. */
  readonly uploadBytesPerSecond: number
  /** Largest fraction of `concurrency` that may be in flight in one region, 0 to 1. */
  readonly regionShare: number
  /** Fraction of a target region's slots by which the customer's traffic there may grow per second. */
  readonly moveStep: number
  /** Relative weight against other customers when slots are short. */
  readonly priority: number
}
