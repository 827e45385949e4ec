/** What an agent keeps of another agent with which it exchanges heartbeats. */
export interface Peer {
  readonly host: string
  /** Monotonic time since which the own agent sends heartbeats to it; -Infinity when it only sends. */
  sinceMs: number
  /** True while the own agent watches it. */
  watched: boolean
  /** Last answer to an own heartbeat. */
  ackMs: number
  /** Last frame of any kind. */
  heardMs: number
  /** Last successful indirect probe. */
  indirectMs: number
  lastProbeMs: number
  lastSentMs: number
  /** Last time at which the peer said that it gets no answers. */
  reportedDownMs: number
  /** Process of the peer that `theirs` belongs to. */
  epoch: number
  /** Change number of the peer up to which all its rows arrived. */
  theirs: number
  /** Own change number up to which the peer confirmed all rows. */
  mine: number
  /** Own change number up to which there was nothing for the peer beyond `mine`. */
  clearNo: number
  wants: ReadonlySet<string>
  wantZones: ReadonlySet<string>
}
