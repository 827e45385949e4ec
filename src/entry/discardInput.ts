import type { Socket } from 'node:net'

/**
 * Drops what still arrives on a connection whose requests are no longer read. The end of the caller is noticed nevertheless, and
 * requests without end take no memory, as they would in the parser.
 */
export function discardInput (socket: Socket): void {
  // The parser may be in the middle of a chunk.
  setImmediate(() => {
    // Node.js starts to read again, when the caller has taken more of its responses, only while its own listeners are there.
    if (socket.isPaused()) socket.once('resume', () => discard(socket))
    else discard(socket)
  })
}

function discard (socket: Socket): void {
  if (socket.destroyed) return
  socket.removeAllListeners('data')
  socket.on('data', () => {})
}
