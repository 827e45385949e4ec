import type { Socket } from 'node:net'
import { discardInput } from './discardInput.js'
import { entryLimits } from './entryLimits.js'

/**
 * Ends a connection and discards what still arrives on it, until the caller has ended it as well or for a limited time. If it was
 * closed at once, a request under way would reset it, and the caller would lose the responses it has not taken yet (RFC 9112,
 * section 9.6). `last` is written before the end.
 */
export function endAndLinger (socket: Socket, last?: string): void {
  if (socket.writableEnded) return
  if (last === undefined) socket.end()
  else socket.end(last)
  discardInput(socket)
  socket.resume()
  setTimeout(() => socket.destroy(), entryLimits.lingerMs).unref()
}
