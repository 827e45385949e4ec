/** A host that owns endpoints of a service, with the values that its score is computed from. */
export interface OwnerCandidate {
  /** Name of the host; this host for endpoints that it owns itself. */
  readonly host: string
  readonly region: string
  /** Expected round trip to the host in ms. */
  readonly delayMs: number
  /** Usable slots of the service. */
  readonly slots: number
  /** Slots in use, plus the requests that are queued or on their way to the host. */
  readonly used: number
  /** Mean service time in ms. */
  readonly serviceMs: number
}
