import type { Socket } from 'node:net'

/** A response that never ends: its first bytes, and those that are repeated. */
interface EndlessResponse {
  readonly first: string
  readonly more: string
}

/** Writes a response until the peer closes the connection; `onBytes` receives the number of bytes of each write. */
export function writeEndlessly (socket: Socket, { first, more }: EndlessResponse, onBytes: (bytes: number) => void = () => {}): void {
  socket.write(first, 'latin1')
  const write = (): void => {
    if (socket.destroyed) return
    onBytes(more.length)
    socket.write(more, 'latin1', () => setImmediate(write))
  }
  write()
}
