import { createServer } from 'node:http'
import type { RequestListener, Server } from 'node:http'
import { parseDestination } from '../common/parseDestination.js'

/** HTTP server on a port other than the callers' one. */
export class AuxiliaryServer {
  private readonly server: Server

  constructor (private readonly address: string, onRequest: RequestListener) {
    this.server = createServer(onRequest)
  }

  /** Rejects when the address can't be bound. */
  async listen (): Promise<void> {
    const { host, port } = parseDestination(this.address)
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }
}
