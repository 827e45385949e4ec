import type { Socket } from 'node:net'

/**
 * Resets a connection. A socket whose writable side has ended is closed instead: resetting it while the shutdown
 * is under way leaves its handle open in Node.js 20 and the event loop spins.
 */
export function resetSocket (socket: Socket): void {
  if (socket.writableEnded || socket.connecting) socket.destroy()
  else socket.resetAndDestroy()
}
