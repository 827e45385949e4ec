import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** An accepted connection and the answers on it that are not complete. */
export interface TrackedConnection {
  readonly socket: Socket
  readonly openResponses: Set<ServerResponse>
  /** The host has ended the connection; a request that arrives on it now is not run. */
  isClosing: boolean
}
