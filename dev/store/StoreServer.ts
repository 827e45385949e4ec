import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { StoreFaults } from './StoreFaults.js'
import { StoreTables } from './StoreTables.js'

/** Interval in ms at which a pending feed call checks for changes. */
const pollMs = 5
const blobGetPrefix = '/v1/blob-get/'
const blobPutPrefix = '/v1/blob-put/'

/** Stand-in for the platform's store that implements its protocol and injects the faults in `faults`. */
export class StoreServer {
  readonly tables = new StoreTables()
  readonly faults: StoreFaults = { down: undefined, delayMs: 0, losesWriteAnswers: false }
  /** Number of calls received, by path. */
  readonly calls = new Map<string, number>()
  /** Invoked before each call; returns true when it has handled the call, false to have it served. */
  intercept: (req: IncomingMessage, res: ServerResponse) => boolean = () => false
  private readonly sockets = new Set<Socket>()
  private readonly silentSockets = new WeakSet<Socket>()
  private readonly server: Server = createServer((req, res) => {
    this.serve(req, res).catch(() => res.destroy())
  }).on('connection', (socket) => {
    this.sockets.add(socket)
    socket.once('close', () => this.sockets.delete(socket))
  })

  /** Starts to listen, by default on a free port of the loopback address, and returns `a.b.c.d:port`. */
  async listen (host = '127.0.0.1', port = 0): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
    return `${host}:${(this.server.address() as AddressInfo).port}`
  }

  /** Sends nothing more on the open connections, without closing them; new ones work. */
  silenceOpenConnections (): void {
    for (const socket of this.sockets) this.silentSockets.add(socket)
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
    if (down !== undefined) return this.send(res, down === 'busy' ? 503 : 429, {})
    if (url.pathname === '/v1/rows-get') return this.readRows(url.searchParams, res)
    if (url.pathname === '/v1/rows-feed') return await this.readFeed(url.searchParams, res)
    if (url.pathname === '/v1/rows-tx') return this.transact(body.toString('utf8'), res)
    if (url.pathname.startsWith(blobGetPrefix)) return this.readBlob(decodeURIComponent(url.pathname.slice(blobGetPrefix.length)), res)
    if (url.pathname.startsWith(blobPutPrefix)) return this.writeBlob(decodeURIComponent(url.pathname.slice(blobPutPrefix.length)), body, res)
    this.send(res, 404, {})
  }

  private readRows (params: URLSearchParams, res: ServerResponse): void {
    const from = params.get('from') ?? ''
    const to = params.get('to')
    const limit = Number(params.get('limit') ?? 500)
    const all = this.tables.list(params.get('table') ?? '', params.get('part') ?? '').filter((row) => row.key >= from && (to === null || row.key < to))
    this.send(res, 200, { rows: all.slice(0, limit), has_more: all.length > limit, ver: this.tables.latestVersion, now_s: readClock() })
  }

  private async readFeed (params: URLSearchParams, res: ServerResponse): Promise<void> {
    const untilMs = performance.now() + Number(params.get('wait_ms') ?? 0)
    for (;;) {
      const rows = this.tables.listChanges(params.get('table') ?? '', Number(params.get('after') ?? 0))
      if (rows === undefined) return this.send(res, 410, {})
      if (rows.length > 0 || performance.now() >= untilMs) return this.send(res, 200, { rows, ver: this.tables.latestVersion, now_s: readClock() })
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
    if (conflicts !== undefined) return this.send(res, 412, { rows: conflicts, ver: this.tables.latestVersion, now_s: readClock() })
    const ver = this.tables.apply(transaction)
    this.acknowledge(res, { ver, now_s: readClock() })
  }

  private readBlob (name: string, res: ServerResponse): void {
    const bytes = this.tables.readBlob(name)
    if (bytes === undefined) return this.send(res, 404, {})
    res.writeHead(200, { 'Content-Type': 'application/octet-stream', 'Content-Length': bytes.length, 'Store-Era': this.tables.era }).end(bytes)
  }

  /** Writes an object once; a second write under the same name is refused. */
  private writeBlob (name: string, bytes: Buffer, res: ServerResponse): void {
    if (this.tables.writeBlob(name, bytes)) this.acknowledge(res, {})
    else this.send(res, 412, {})
  }

  /** Responds to a write that took effect, or closes the connection when its response is to be lost. */
  private acknowledge (res: ServerResponse, body: object): void {
    const { faults } = this
    if (!faults.losesWriteAnswers || faults.lostAnswers === 0) return this.send(res, 200, body)
    if (faults.lostAnswers !== undefined) faults.lostAnswers -= 1
    res.destroy()
  }

  private send (res: ServerResponse, status: number, body: object): void {
    if (res.socket !== null && this.silentSockets.has(res.socket)) return
    res.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': this.tables.era }).end(JSON.stringify(body))
  }
}

async function readBody (req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of req) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

/** Returns the time of the store's steady clock in seconds, as hosts get it. */
function readClock (): number {
  return Math.round(performance.now()) / 1_000
}

async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}
