import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

/** What the admin port shows. */
interface AdminOptions {
  readonly isReady: () => boolean
  /** Metrics in Prometheus text format. */
  readonly renderMetrics: () => Promise<string>
}

const maxConnections = 64

/** Health and metrics of the process. */
export class AdminServer {
  private readonly server: Server

  constructor (private readonly options: AdminOptions) {
    this.server = createServer((req, res) => {
      req.resume()
      this.answer(req, res).catch(() => send(res, 500, 'error\n'))
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

  private async answer (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const path = req.method === 'GET' ? req.url : undefined
    if (path === '/health/alive') return send(res, 200, 'alive\n')
    if (path === '/health/ready') return this.options.isReady() ? send(res, 200, 'ready\n') : send(res, 503, 'not ready\n')
    if (path === '/metrics') return send(res, 200, await this.options.renderMetrics(), 'text/plain; version=0.0.4; charset=utf-8')
    return send(res, 404, 'not found\n')
  }
}

function send (res: ServerResponse, status: number, body: string, type = 'text/plain; charset=utf-8'): void {
  res.writeHead(status, { 'Content-Type': type, 'Content-Length': Buffer.byteLength(body) })
  res.end(body)
}
