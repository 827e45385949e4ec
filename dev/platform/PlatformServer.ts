import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { ControlServer } from '../common/ControlServer.js'
import type { PlatformPlan } from './PlatformPlan.js'
import { PlatformStore } from './PlatformStore.js'

/** How the stand-in treats calls. */
interface PlatformFaults {
  /** `refuse` closes the port, `hang` accepts calls and never answers. */
  mode: 'up' | 'refuse' | 'hang'
  /** Delay of each answer in ms. */
  delayMs: number
  /** Number of writes whose answer is lost after they took effect. */
  loseAnswers: number
}

/** A host as the platform knows it and as its list shows it. */
interface ListedHost {
  readonly name: string
  readonly kind: 'entry' | 'upstream'
  state: 'live' | 'leaving'
  /** Wall time in ms of the last change of `state`. */
  changedMs: number
  shown: 'live' | 'leaving'
}

/** Stand-in of the platform: table service, object store and host list over HTTP, with injected faults. */
export class PlatformServer {
  private readonly store = new PlatformStore()
  private readonly faults: PlatformFaults = { mode: 'up', delayMs: 0, loseAnswers: 0 }
  private readonly hosts = new Map<string, ListedHost>()
  private readonly counts: Record<string, number> = { reads: 0, writes: 0, conflicts: 0, objectReads: 0, objectWrites: 0, listReads: 0, failed: 0 }
  private readonly control: ControlServer
  private readonly bootMs = Date.now()
  private server: Server | undefined
  private hostLagMs: number

  constructor (private readonly plan: PlatformPlan) {
    this.hostLagMs = plan.hostLagMs
    for (const { name, kind } of plan.hosts) this.hosts.set(name, { name, kind, state: 'live', changedMs: 0, shown: 'live' })
    this.control = new ControlServer({
      fault: async (body) => await this.setFaults(body),
      rollback: (body) => ({ undone: this.store.rollBack(Number(body.count ?? 1)) }),
      host: (body) => this.setHost(String(body.name), body.state === 'leaving' ? 'leaving' : 'live'),
      lag: (body) => { this.hostLagMs = Number(body.ms) },
      row: (body) => this.store.readRow(String(body.row)) ?? { version: 0 },
      counts: () => ({ ...this.counts, upMs: Date.now() - this.bootMs })
    })
  }

  async start (): Promise<void> {
    await this.open()
    await this.control.listen(this.plan.address, this.plan.controlPort)
  }

  async close (): Promise<void> {
    await this.shut()
    await this.control.close()
  }

  private async open (): Promise<void> {
    const server = createServer({ keepAliveTimeout: 60_000 }, (req, res) => {
      this.handle(req, res).catch((err: unknown) => sendJson(res, 400, { error: String(err) }))
    })
    this.server = server
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(this.plan.port, this.plan.address, resolve)
    })
  }

  private async shut (): Promise<void> {
    const server = this.server
    this.server = undefined
    if (server === undefined) return
    const closed = new Promise<void>((resolve) => server.close(() => resolve()))
    server.closeAllConnections()
    await closed
  }

  private async setFaults (body: Record<string, unknown>): Promise<void> {
    if (body.delayMs !== undefined) this.faults.delayMs = Number(body.delayMs)
    if (body.loseAnswers !== undefined) this.faults.loseAnswers = Number(body.loseAnswers)
    if (body.mode === undefined) return
    this.faults.mode = body.mode === 'refuse' || body.mode === 'hang' ? body.mode : 'up'
    if (this.faults.mode === 'refuse') await this.shut()
    else if (this.server === undefined) await this.open()
  }

  private setHost (name: string, state: 'live' | 'leaving'): void {
    const host = this.hosts.get(name)
    if (host === undefined) throw new Error(`the host list has no "${name}"`)
    host.shown = this.shownState(host)
    host.state = state
    host.changedMs = Date.now()
  }

  private shownState (host: ListedHost): 'live' | 'leaving' {
    return Date.now() - host.changedMs >= this.hostLagMs ? host.state : host.shown
  }

  private async handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of req) chunks.push(chunk as Buffer)
    if (this.faults.mode === 'hang') {
      this.count('failed')
      return
    }
    if (this.faults.delayMs > 0) await new Promise((resolve) => setTimeout(resolve, this.faults.delayMs))
    if (res.destroyed) return
    this.dispatch(req, res, Buffer.concat(chunks))
  }

  private dispatch (req: IncomingMessage, res: ServerResponse, body: Buffer): void {
    const path = decodeURIComponent(new URL(req.url ?? '/', 'http://platform').pathname)
    if (path === '/hosts') return this.listHosts(res)
    if (path === '/table/transact' && req.method === 'POST') return this.transact(res, body)
    if (path.startsWith('/table/')) return this.handleRow(req, res, path.slice('/table/'.length), body)
    if (path.startsWith('/objects/')) return this.handleObject(req, res, path.slice('/objects/'.length), body)
    sendJson(res, 404, { error: 'no such resource' })
  }

  private listHosts (res: ServerResponse): void {
    this.count('listReads')
    const hosts = [...this.hosts.values()].map((host) => ({ name: host.name, kind: host.kind, state: this.shownState(host) }))
    sendJson(res, 200, { hosts })
  }

  private handleRow (req: IncomingMessage, res: ServerResponse, row: string, body: Buffer): void {
    if (req.method === 'GET') {
      this.count('reads')
      const current = this.store.readRow(row)
      return current === undefined ? sendJson(res, 404, { version: 0 }) : sendJson(res, 200, current)
    }
    const { ifVersion, value } = JSON.parse(body.toString()) as { ifVersion: number, value: unknown }
    this.count('writes')
    const result = this.store.write([{ row, ifVersion, value }])
    if (result.kind === 'conflict') return this.sendConflict(res, { version: result.current.version, value: result.current.value })
    this.sendWritten(res, { version: result.versions[0] })
  }

  private transact (res: ServerResponse, body: Buffer): void {
    const { writes } = JSON.parse(body.toString()) as { writes: { row: string, ifVersion: number, value: unknown }[] }
    this.count('writes')
    const result = this.store.write(writes)
    if (result.kind === 'conflict') return this.sendConflict(res, { row: result.row, version: result.current.version, value: result.current.value })
    this.sendWritten(res, { version: result.versions[0], versions: result.versions })
  }

  private handleObject (req: IncomingMessage, res: ServerResponse, name: string, body: Buffer): void {
    if (req.method === 'GET') {
      this.count('objectReads')
      const bytes = this.store.readObject(name)
      if (bytes === undefined) return sendJson(res, 404, { error: 'no such object' })
      res.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': bytes.length })
      res.end(bytes)
      return
    }
    this.count('objectWrites')
    if (!this.store.writeObject(name, body)) return this.sendConflict(res, { error: 'the object exists with other bytes' })
    this.sendWritten(res, {})
  }

  private sendConflict (res: ServerResponse, value: unknown): void {
    this.count('conflicts')
    sendJson(res, 409, value)
  }

  /** Answers a write that took effect, or breaks the connection when the answer is to be lost. */
  private sendWritten (res: ServerResponse, value: unknown): void {
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1
      res.socket?.destroy()
      return
    }
    sendJson(res, 200, value)
  }

  private count (name: string): void {
    this.counts[name] = (this.counts[name] ?? 0) + 1
  }
}

function sendJson (res: ServerResponse, status: number, value: unknown): void {
  if (res.destroyed || res.headersSent) return
  const body = JSON.stringify(value)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
  res.end(body)
}
