/** TCP ports of a host. */
export interface HostPorts {
  /** Callers' HTTP. */
  readonly caller: number
  /** HTTP between entry hosts. */
  readonly internal: number
  /** Frames between entry processes. */
  readonly peer: number
  /** Lookups over HTTP. */
  readonly lookup: number
  /** Frames between agents, and from the host's own entry and lookup processes. */
  readonly agent: number
  /** Operators' HTTP. */
  readonly operator: number
  /** Health and metrics of the entry process. */
  readonly entryAdmin: number
}
