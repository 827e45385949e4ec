import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** An accepted connection and the answers on it that are not complete. */
export interface ConnectionRow {
  readonly socket: Socket
  readonly open: Set<ServerResponse>
  /** The host has ended the connection; a request that arrives on it now is not run. */
  isEnded: boolean
}
