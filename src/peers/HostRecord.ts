/** Registration of a host. */
export interface HostRecord {
  readonly name: string
  readonly zone: string
  readonly region: string
  /** `a.b.c.d:port` where callers connect. */
  readonly callerAddress: string
  /** `a.b.c.d:port` where other hosts connect. */
  readonly peerAddress: string
  /** Bandwidth of the host's own link in Mbit/s; 0 when unknown. */
  readonly linkMbps: number
  /** Start time of the process in ms since the Unix epoch. */
  readonly incarnation: number
}
