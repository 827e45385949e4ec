import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** An accepted connection and its responses that are not complete. */
export interface TrackedConnection {
  readonly socket: Socket
  readonly openResponses: Set<ServerResponse>
  /** True once the host has ended the connection; requests that arrive on it afterwards are not run. */
  isClosing: boolean
}
