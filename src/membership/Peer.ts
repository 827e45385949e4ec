/** State that an agent keeps per agent with which it exchanges heartbeats. */
export interface Peer {
  readonly host: string
  /** Monotonic time since which the own agent watches the peer, or of the last own pause; meaningless while the peer is not watched. */
  watchedSinceMs: number
  /** True while the own agent sends heartbeats to the peer and checks for its silence. */
  watched: boolean
  /** Monotonic time of the last acknowledgement of an own heartbeat. */
  lastAckMs: number
  /** Monotonic time of the last heartbeat or acknowledgement from the peer. */
  lastFrameMs: number
  /** Monotonic time of the last successful indirect probe. */
  lastIndirectAckMs: number
  lastProbeMs: number
  lastSentMs: number
  /** Monotonic time at which the peer last reported that its heartbeats are not acknowledged. */
  lastReportedDownMs: number
  /** Epoch of the peer process that `receivedUpTo` refers to. */
  epoch: number
  /** Change number of the peer up to which all its rows have been received. */
  receivedUpTo: number
  /** Own change number up to which the peer has confirmed all rows. */
  confirmedUpTo: number
  /** Own change number up to which the changes after `confirmedUpTo` contained no row for the peer. */
  checkedUpTo: number
  /** Hosts whose rows the peer cannot receive directly. */
  linkDownHosts: ReadonlySet<string>
  /** Zones whose rows the peer cannot receive directly. */
  linkDownZones: ReadonlySet<string>
}
