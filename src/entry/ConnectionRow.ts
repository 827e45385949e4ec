import type { Socket } from 'node:net'

/** An accepted connection and the requests on it that have no complete answer. */
export interface ConnectionRow {
  readonly socket: Socket
  open: number
  /** The host has ended the connection; a request that arrives on it now is not run. */
  isEnded: boolean
}
