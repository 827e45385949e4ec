/** TCP ports of a host. */
export interface HostPorts {
  /** HTTP requests of callers. */
  readonly caller: number
  /** HTTP requests forwarded between hosts. */
  readonly internal: number
  /** Frames between entry processes. */
  readonly peer: number
  /** Lookup requests over HTTP. */
  readonly lookup: number
  /** Frames between agents, and between the agent and the entry and lookup processes of its host. */
  readonly agent: number
  /** HTTP requests of operators. */
  readonly operator: number
  /** Health and metrics of the entry process. */
  readonly entryAdmin: number
}
