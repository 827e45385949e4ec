import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** An accepted connection and the answers on it that are not complete. */
export interface ConnectionRow {
  readonly socket: Socket
  readonly open: Set<ServerResponse>
}
