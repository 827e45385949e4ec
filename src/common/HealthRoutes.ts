import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Registry } from 'prom-client'
import { sendJson } from './sendJson.js'

/** What the health routes of a daemon report. */
interface HealthRoutesOptions {
  readonly registry: Registry
  /** Returns why the daemon is not ready, or undefined when it is. */
  readonly findObstacle: () => string | undefined
}

/** `GET /health/alive`, `GET /health/ready` and `GET /metrics`, which every daemon serves. */
export class HealthRoutes {
  constructor (private readonly options: HealthRoutesOptions) {}

  /** Answers the request and returns true when it is for one of the routes. */
  handle (req: IncomingMessage, res: ServerResponse): boolean {
    const path = req.url?.split('?', 1)[0]
    if (path !== '/health/alive' && path !== '/health/ready' && path !== '/metrics') return false
    if (req.method !== 'GET' && req.method !== 'HEAD') sendJson(res, 405, { message: 'only GET is supported' }, { Allow: 'GET, HEAD' })
    else if (path === '/metrics') this.sendMetrics(res).catch(() => res.destroy())
    else this.sendHealth(res, path === '/health/alive' ? undefined : this.options.findObstacle())
    return true
  }

  private sendHealth (res: ServerResponse, obstacle: string | undefined): void {
    sendJson(res, obstacle === undefined ? 200 : 503, obstacle === undefined ? { status: 'ok' } : { status: 'not-ready', reason: obstacle })
  }

  private async sendMetrics (res: ServerResponse): Promise<void> {
    const body = await this.options.registry.metrics()
    res.writeHead(200, { 'Content-Type': this.options.registry.contentType, 'Content-Length': Buffer.byteLength(body) })
    res.end(res.req.method === 'HEAD' ? undefined : body)
  }
}
