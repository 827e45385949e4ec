import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { StoreFaults } from './StoreFaults.js'
import { StoreTables } from './StoreTables.js'

/** Time in ms between looks for changes while a call waits for them. */
const pollMs = 5
const blobGet = '/v1/blob-get/'
const blobPut = '/v1/blob-put/'

/** A stand-in of the platform's store that speaks its protocol and misbehaves as told. */
export class StoreServer {
  readonly tables = new StoreTables()
  readonly faults: StoreFaults = { down: undefined, delayMs: 0, losesWriteAnswers: false }
  /** Calls that arrived, by path. */
  readonly calls = new Map<string, number>()
  /** Runs before each call; answers it itself and returns true, or lets it through. */
  intercept: (req: IncomingMessage, res: ServerResponse) => boolean = () => false
  private readonly server: Server = createServer((req, res) => {
    this.serve(req, res).catch(() => res.destroy())
  })

  /** Listens, on a free port of the loopback address when none is given, and returns `a.b.c.d:port`. */
  async listen (host = '127.0.0.1', port = 0): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
    return `${host}:${(this.server.address() as AddressInfo).port}`
  }

  get isListening (): boolean {
    return this.server.listening
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private async serve (req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.intercept(req, res)) return
    const url = new URL(req.url ?? '/', 'http://store')
    this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1)
    const body = await readBody(req)
    if (this.faults.delayMs > 0) await sleep(this.faults.delayMs)
    const { down } = this.faults
    if (down === 'silence') return
    if (down === 'reset') {
      req.socket.resetAndDestroy()
      return
    }
    if (down !== undefined) return send(res, down === 'busy' ? 503 : 429, {})
    if (url.pathname === '/v1/rows-get') return this.read(url.searchParams, res)
    if (url.pathname === '/v1/rows-feed') return await this.follow(url.searchParams, res)
    if (url.pathname === '/v1/rows-tx') return this.transact(body.toString('utf8'), res)
    if (url.pathname.startsWith(blobGet)) return this.readBlob(decodeURIComponent(url.pathname.slice(blobGet.length)), res)
    if (url.pathname.startsWith(blobPut)) return this.writeBlob(decodeURIComponent(url.pathname.slice(blobPut.length)), body, res)
    send(res, 404, {})
  }

  private read (params: URLSearchParams, res: ServerResponse): void {
    const from = params.get('from') ?? ''
    const to = params.get('to')
    const limit = Number(params.get('limit') ?? 500)
    const all = this.tables.list(params.get('table') ?? '', params.get('part') ?? '').filter((row) => row.key >= from && (to === null || row.key < to))
    send(res, 200, { rows: all.slice(0, limit), has_more: all.length > limit, ver: this.tables.newest, now_s: 1 })
  }

  private async follow (params: URLSearchParams, res: ServerResponse): Promise<void> {
    const untilMs = performance.now() + Number(params.get('wait_ms') ?? 0)
    for (;;) {
      const rows = this.tables.listChanges(params.get('table') ?? '', Number(params.get('after') ?? 0))
      if (rows === undefined) return send(res, 410, {})
      if (rows.length > 0 || performance.now() >= untilMs) return send(res, 200, { rows, ver: this.tables.newest, now_s: 1 })
      if (res.destroyed) return
      if (this.faults.down === 'reset') {
        res.destroy()
        return
      }
      await sleep(pollMs)
    }
  }

  private transact (body: string, res: ServerResponse): void {
    const transaction = JSON.parse(body) as Parameters<StoreTables['apply']>[0]
    const conflicts = this.tables.findConflicts(transaction)
    if (conflicts !== undefined) return send(res, 412, { rows: conflicts, ver: this.tables.newest, now_s: 1 })
    const ver = this.tables.apply(transaction)
    this.confirm(res, { ver, now_s: 1 })
  }

  private readBlob (name: string, res: ServerResponse): void {
    const bytes = this.tables.readBlob(name)
    if (bytes === undefined) return send(res, 404, {})
    res.writeHead(200, { 'Content-Type': 'application/octet-stream', 'Content-Length': bytes.length }).end(bytes)
  }

  /** An object is written once; another write of the same name is refused. */
  private writeBlob (name: string, bytes: Buffer, res: ServerResponse): void {
    if (this.tables.writeBlob(name, bytes)) this.confirm(res, {})
    else send(res, 412, {})
  }

  /** Answers a write that took effect, or breaks the connection when the answer is to be lost. */
  private confirm (res: ServerResponse, body: object): void {
    const { faults } = this
    if (!faults.losesWriteAnswers || faults.lostAnswers === 0) return send(res, 200, body)
    if (faults.lostAnswers !== undefined) faults.lostAnswers -= 1
    res.destroy()
  }
}

function send (res: ServerResponse, status: number, body: object): void {
  res.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(body))
}

async function readBody (req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of req) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}
