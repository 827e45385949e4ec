/** Configuration of the store stand-in's process. */
export interface StorePlan {
  readonly address: string
  readonly port: number
  readonly controlPort: number
  /** Delay in ms until the registry shows a change of an upstream. */
  readonly registryLagMs: number
  /** Names of the upstreams that are registered at startup. */
  readonly upstreams: readonly string[]
}
