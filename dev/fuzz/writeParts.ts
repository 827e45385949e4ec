import type { Socket } from 'node:net'

/** Writes the parts one after the other, each in a turn of its own, and calls `onWritten` when none is left or the socket takes no more. */
export function writeParts (socket: Socket, parts: readonly string[], onWritten: () => void): void {
  const [part, ...rest] = parts
  if (part === undefined || !socket.writable) return onWritten()
  socket.write(part, 'latin1', () => setImmediate(() => writeParts(socket, rest, onWritten)))
}
