import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** An endpoint that writes any bytes in place of responses; it is registered with a slot count that never limits it. */
export class RawEndpoint {
  /** Connections that the caller or the endpoint has closed. */
  closedConnections = 0
  private readonly sockets = new Set<Socket>()
  private readonly server = createServer((socket) => this.accept(socket))

  constructor (readonly id: string, private readonly onRequest: (socket: Socket, head: string) => void) {}

  async listen (): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve))
  }

  /** Returns the registry entry of the endpoint. */
  describe (service: string, zone: string): object {
    const { address, port } = this.server.address() as AddressInfo
    return {
      born: Date.now(),
      address: `${address}:${port}`,
      info: { service, version: 'v1', zone, slots: 100 },
      status: { state: 'ready', sequence: 1, cold_remaining_s: 0 }
    }
  }

  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private accept (socket: Socket): void {
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', (chunk) => this.onRequest(socket, chunk.toString('latin1')))
    socket.once('close', () => {
      this.sockets.delete(socket)
      this.closedConnections += 1
    })
  }
}
