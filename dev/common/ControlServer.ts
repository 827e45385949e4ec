import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

/** Handles one control operation; the result is sent as JSON. */
type ControlHandler = (body: Record<string, unknown>) => unknown

/** HTTP control interface of a stand-in: `POST /<operation>` with a JSON object, answered by JSON. */
export class ControlServer {
  private readonly server: Server

  constructor (private readonly handlers: Readonly<Record<string, ControlHandler>>) {
    this.server = createServer((req, res) => {
      this.handle(req, res).catch((err: unknown) => sendJson(res, 500, { error: String(err) }))
    })
  }

  async listen (address: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, address, resolve)
    })
  }

  async close (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise<void>((resolve) => this.server.close(() => resolve()))
  }

  private async handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const handler = this.handlers[(req.url ?? '').slice(1)]
    const chunks: Buffer[] = []
    for await (const chunk of req) chunks.push(chunk as Buffer)
    if (handler === undefined) return sendJson(res, 404, { error: `no operation ${req.url ?? ''}` })
    const text = Buffer.concat(chunks).toString()
    const result: unknown = await handler(text === '' ? {} : JSON.parse(text) as Record<string, unknown>)
    sendJson(res, 200, result ?? {})
  }
}

function sendJson (res: ServerResponse, status: number, value: unknown): void {
  if (res.headersSent) return
  res.writeHead(status, { 'content-type': 'application/json' })
  res.end(JSON.stringify(value))
}
