/** What the process of the store stand-in is started with. */
export interface StorePlan {
  readonly address: string
  readonly port: number
  readonly controlPort: number
  /** Time in ms after which a change of an upstream shows in the registry. */
  readonly registryLagMs: number
  /** Upstreams that are registered at the start. */
  readonly upstreams: readonly string[]
}
