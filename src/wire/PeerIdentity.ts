/** Identity that a process presents in the handshake of a frame connection. */
export interface PeerIdentity {
  /** Name of the host. */
  readonly name: string
  readonly role: 'agent' | 'entry' | 'lookup'
  /** Start of the process in ms since the Unix epoch; raised when needed to exceed that of an earlier process. */
  readonly incarnation: number
}
