import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { Registry } from 'prom-client'
import { HealthRoutes } from '../common/HealthRoutes.js'
import { sendJson } from '../common/sendJson.js'

/** Sources for the admin port. */
interface AdminOptions {
  readonly registry: Registry
  /** Returns the reason why the process is not ready, or undefined if it is ready. */
  readonly findNotReadyReason: () => string | undefined
}

const maxConnections = 64

/** Serves the health checks and metrics of the process. */
export class AdminServer {
  private readonly server: Server

  constructor (options: AdminOptions) {
    const routes = new HealthRoutes(options)
    this.server = createServer((req, res) => {
      req.resume()
      if (!routes.handle(req, res)) sendJson(res, 404, { message: 'not found' })
    })
    this.server.maxConnections = maxConnections
  }

  async listen (address: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, address, resolve)
    })
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }
}
