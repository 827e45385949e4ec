import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Registry } from 'prom-client'
import { sendJson } from './sendJson.js'

/** Sources of the health and metrics responses. */
interface HealthRoutesOptions {
  readonly registry: Registry
  /** Returns why the daemon is not ready, or undefined when it is. */
  readonly findNotReadyReason: () => string | undefined
}

/** Serves `GET /health/alive`, `GET /health/ready` and `GET /metrics`, which every daemon has. */
export class HealthRoutes {
  constructor (private readonly options: HealthRoutesOptions) {}

  /** Responds and returns true when the request is for one of these routes. */
  handle (req: IncomingMessage, res: ServerResponse): boolean {
    const path = req.url?.split('?', 1)[0]
    if (path !== '/health/alive' && path !== '/health/ready' && path !== '/metrics') return false
    if (req.method !== 'GET' && req.method !== 'HEAD') sendJson(res, 405, { message: 'only GET is supported' }, { Allow: 'GET, HEAD' })
    else if (path === '/metrics') this.sendMetrics(res).catch(() => res.destroy())
    else this.sendHealth(res, path === '/health/alive' ? undefined : this.options.findNotReadyReason())
    return true
  }

  private sendHealth (res: ServerResponse, reason: string | undefined): void {
    sendJson(res, reason === undefined ? 200 : 503, reason === undefined ? { status: 'ok' } : { status: 'not-ready', reason })
  }

  private async sendMetrics (res: ServerResponse): Promise<void> {
    const body = await this.options.registry.metrics()
    res.writeHead(200, { 'Content-Type': this.options.registry.contentType, 'Content-Length': Buffer.byteLength(body) })
    res.end(res.req.method === 'HEAD' ? undefined : body)
  }
}
