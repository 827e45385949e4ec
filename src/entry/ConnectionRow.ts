import type { Socket } from 'node:net'

/** An accepted connection and the requests on it that have no complete answer. */
export interface ConnectionRow {
  readonly socket: Socket
  open: number
}
