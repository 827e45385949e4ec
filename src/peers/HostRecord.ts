/** A host of the system as it registers itself. */
export interface HostRecord {
  readonly name: string
  readonly zone: string
  readonly region: string
  /** `a.b.c.d:port` where callers connect. */
  readonly callerAddress: string
  /** `a.b.c.d:port` where other hosts connect. */
  readonly peerAddress: string
  /** What the host can carry, in Mbit/s of its own link; 0 when it isn't known. */
  readonly linkMbps: number
  /** Start of the process in ms since the Unix epoch. */
  readonly incarnation: number
}
