/** An entry host as the configuration names it. */
export interface HostSpec {
  readonly name: string
  readonly zone: string
  /** IP address on which all ports of the host listen. */
  readonly address: string
  readonly ports: HostPorts
}

/** TCP ports of a host. */
interface HostPorts {
  /** Callers' HTTP. */
  readonly caller: number
  /** HTTP between entry hosts. */
  readonly internal: number
  /** Frames between entry processes. */
  readonly peer: number
  /** Look-ups over HTTP. */
  readonly lookup: number
  /** Frames between agents, and from the host's own entry and lookup processes. */
  readonly agent: number
  /** Operators' HTTP. */
  readonly operator: number
  /** Health and metrics of the entry process. */
  readonly entryAdmin: number
}
