/** A host that could take a request, as the routing score sees it. */
export interface OwnerCandidate {
  /** Name of the host; the own host for endpoints that it owns itself. */
  readonly host: string
  readonly region: string
  /** Expected round trip to the host in ms. */
  readonly delayMs: number
  /** Usable slots of the service. */
  readonly slots: number
  /** Slots in use or promised to requests that are on the way. */
  readonly used: number
  /** Mean service time in ms. */
  readonly serviceMs: number
}
