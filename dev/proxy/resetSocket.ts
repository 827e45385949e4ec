import type { Socket } from 'node:net'

/**
 * Resets a connection. A socket that is still connecting or whose writable side has ended is destroyed instead: a reset
 * during the shutdown leaves the handle open in Node.js 20, and the event loop spins.
 */
export function resetSocket (socket: Socket): void {
  if (socket.writableEnded || socket.connecting) socket.destroy()
  else socket.resetAndDestroy()
}
