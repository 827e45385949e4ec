import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ListedHost } from '../../src/platform/ListedHost.js'

/** A conditional write as it arrives. */
interface ArrivingWrite {
  readonly row: string
  readonly ifVersion: number
  readonly value: unknown
}

/** The platform's HTTP interface in memory, with faults that tests switch on. */
export class FakePlatform {
  readonly rows = new Map<string, { version: number, value: unknown }>()
  readonly objects = new Map<string, Buffer>()
  hosts: ListedHost[] = []
  /** Runs before each request; answers it itself and returns true, or lets it through. */
  intercept: (req: IncomingMessage, res: ServerResponse) => boolean = () => false
  /** Number of responses to `PUT /table` that are lost after the write took effect. */
  loseReplies = 0
  reads = 0
  private readonly server = createServer((req, res) => { this.serve(req, res).catch(() => res.destroy()) })

  async listen (address: string, port: number): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(port, address, resolve))
  }

  async close (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise((resolve) => this.server.close(resolve))
  }

  private async serve (req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.intercept(req, res)) return
    const chunks: Buffer[] = []
    for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk)
    const body = Buffer.concat(chunks)
    const url = req.url ?? ''
    if (url === '/hosts') return send(res, 200, { hosts: this.hosts })
    if (url.startsWith('/objects/')) return this.serveObject(req, res, url.slice('/objects/'.length), body)
    if (url === '/table/transact') return this.write(res, (JSON.parse(body.toString()) as { writes: ArrivingWrite[] }).writes)
    const row = url.slice('/table/'.length)
    if (req.method === 'GET') return this.serveRow(res, row)
    this.write(res, [{ row, ...JSON.parse(body.toString()) as { ifVersion: number, value: unknown } }])
  }

  private serveRow (res: ServerResponse, name: string): void {
    this.reads += 1
    const row = this.rows.get(name)
    send(res, row === undefined ? 404 : 200, row ?? {})
  }

  private serveObject (req: IncomingMessage, res: ServerResponse, name: string, body: Buffer): void {
    if (req.method === 'PUT') {
      this.objects.set(name, body)
      return send(res, 201, {})
    }
    const bytes = this.objects.get(name)
    res.writeHead(bytes === undefined ? 404 : 200)
    res.end(bytes)
  }

  private write (res: ServerResponse, writes: readonly ArrivingWrite[]): void {
    const conflict = writes.find(({ row, ifVersion }) => (this.rows.get(row)?.version ?? 0) !== ifVersion)
    if (conflict !== undefined) return send(res, 409, this.rows.get(conflict.row) ?? { version: 0, value: null })
    for (const { row, ifVersion, value } of writes) this.rows.set(row, { version: ifVersion + 1, value })
    if (this.loseReplies > 0) {
      this.loseReplies -= 1
      res.destroy()
      return
    }
    send(res, 200, { version: (writes[0]?.ifVersion ?? 0) + 1 })
  }
}

function send (res: ServerResponse, status: number, value: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' })
  res.end(JSON.stringify(value))
}
