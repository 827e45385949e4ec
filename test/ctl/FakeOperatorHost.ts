import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createFailure } from '../../src/common/createFailure.js'
import type { ResultName } from '../../src/common/ResultName.js'
import { sendFailure } from '../../src/common/sendFailure.js'
import { sendJson } from '../../src/common/sendJson.js'
import type { Contract } from '../../src/model/Contract.js'
import type { Deployment } from '../../src/model/Deployment.js'

/** State shared by all fake hosts, in place of the platform. */
interface FakeState {
  version: number
  deployment: Deployment | undefined
  contracts: Map<string, Contract>
  drains: Array<{ kind: string, name: string, by: string, atMs: number }>
  log: Array<{ writeId: string, version: number, by: string, change: string }>
}

/** Fault that a fake host injects into the next requests. */
type FaultMode = 'normal' | 'lose-before' | 'lose-after' | 'garbage' | 'no-platform' | 'write-unknown'

type Body = Record<string, unknown>

export const operatorPort = 8085

/** Fake of one host's operators' interface (design 6.5). */
export class FakeOperatorHost {
  readonly receivedRequests: string[] = []
  /** Outcome reported for a write that the log does not contain. */
  outcomeOfUnloggedWrite: 'unknown' | 'not-run' = 'unknown'
  mode: FaultMode = 'normal'
  /** Number of further reads that report the latest version as not yet applied. */
  pollsUntilApplied = 0
  private readonly server: Server

  constructor (readonly address: string, readonly state: FakeState = { version: 0, deployment: undefined, contracts: new Map(), drains: [], log: [] }) {
    this.server = createServer((req, res) => { this.handle(req, res).catch(() => res.destroy()) })
  }

  async listen (): Promise<this> {
    await new Promise<void>((resolve) => this.server.listen(operatorPort, this.address, resolve))
    return this
  }

  async close (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise<void>((resolve) => this.server.close(() => resolve()))
  }

  private async handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk)
    const path = (req.url ?? '').replace('/admin/v1/', '').split('?', 1)[0]!
    const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString()) as Body
    this.receivedRequests.push(`${req.method} ${path}${body.writeId === undefined ? '' : ` ${String(body.writeId)}`}`)
    if (req.headers.authorization !== 'Bearer secret') return refuse(res, 'operatorDenied')
    if (this.mode === 'garbage') {
      res.end('<html>')
      return
    }
    const write = req.method !== 'GET' && path !== 'explain'
    if (write && this.mode === 'no-platform') return refuse(res, 'platformUnavailable')
    if (write && this.mode === 'lose-before') {
      res.destroy()
      return
    }
    const send = (status: number, value: unknown): void => { sendJson(res, status, value) }
    if (!write) return this.read(path, body, send, res)
    const name = this.apply(req.method ?? '', path, body)
    if (name !== undefined) return refuse(res, name)
    if (this.mode === 'lose-after') {
      res.destroy()
      return
    }
    if (this.mode === 'write-unknown') return sendFailure(res, createFailure('writeUnknown', { outcome: 'unknown' }), 'r')
    send(200, body.dryRun === true ? { dryRun: true, version: this.state.version + 1, change: path } : this.state.log.find(({ writeId }) => writeId === body.writeId))
  }

  private apply (method: string, path: string, body: Body): ResultName | undefined {
    const { state } = this
    if (state.log.some(({ writeId }) => writeId === body.writeId)) return undefined
    const [kind, first = '', second = ''] = path.split('/')
    if (kind === 'deployment') state.deployment = body.deployment as Deployment
    if (kind === 'contracts') {
      if ((state.contracts.get(first)?.version ?? 0) !== body.expectVersion) return 'contractConflict'
      if (body.dryRun === true) return undefined
      if (method === 'DELETE') state.contracts.delete(first)
      else state.contracts.set(first, { ...body.contract as Contract, version: Number(body.expectVersion) + 1 })
    }
    if (kind === 'drains' && method === 'POST') state.drains.push({ kind: String(body.kind), name: String(body.name), by: 'anna', atMs: 0 })
    if (kind === 'drains' && method === 'DELETE') {
      if (!state.drains.some((drain) => drain.kind === first && drain.name === second)) return 'unknownItem'
      state.drains = state.drains.filter((drain) => drain.kind !== first || drain.name !== second)
    }
    state.version += 1
    state.log.push({ writeId: String(body.writeId), version: state.version, by: 'anna', change: `${kind} ${first} ${second}`.trim() })
    return undefined
  }

  private read (path: string, body: Body, send: (status: number, value: unknown) => void, res: ServerResponse): void {
    const { version, deployment, contracts, drains, log } = this.state
    const [page, name = ''] = path.split('/')
    const hosts = deployment?.hosts ?? []
    const applied = this.pollsUntilApplied-- > 0 ? version - 1 : version
    const members = hosts.map((host) => ({
      host: host.name,
      zone: host.zone,
      state: 'alive',
      configVersion: version,
      digest: { entryIncarnation: 1, appliedVersion: applied, serving: true, leaving: false, inFlight: 3 }
    }))
    if (page === 'writes') {
      const receipt = log.find(({ writeId }) => writeId === name)
      return send(200, { writeId: name, outcome: receipt === undefined ? this.outcomeOfUnloggedWrite : 'accepted', receipt })
    }
    if (page === 'metrics') {
      res.end('shunt_up 1\n')
      return
    }
    if (page === 'explain') return send(200, { host: 'north-a-1', steps: [{ step: 'route', detail: `${String(body.method)} ${String(body.path)}` }] })
    if (deployment === undefined) return refuse(res, 'noConfiguration')
    if (page === 'contracts' && name === '') return send(200, { version, contracts: [...contracts.values()] })
    if (page === 'contracts') return contracts.has(name) ? send(200, { contract: contracts.get(name) }) : refuse(res, 'unknownItem')
    if (page === 'deployment') return send(200, { version, deployment })
    if (page === 'drains') return send(200, { version, drains: drains.map((drain) => ({ ...drain, inFlight: applied < version ? 2 : 0, notApplied: [], complete: applied >= version })) })
    if (page === 'status') return send(200, { host: this.address, version, members, leavingEndpoints: [], leavingHosts: [], differences: [] })
    if (page === 'config') return send(200, { host: 'north-a-1', lineage: 'caroni-1', version, hosts: hosts.map((host, index) => ({ host: host.name, zone: host.zone, reachable: index > 0, agentVersion: version, appliedVersion: applied })) })
    if (page === 'limits') return send(200, { customer: name, version: 1, cap: { rate: 5, burst: 2, concurrency: 4, uploadBytesPerSecond: 0, regionShare: 0.5 }, use: { inFlight: 1, rate: 2 }, hosts: [{ host: 'north-a-1', state: 'alive', inFlight: 1, rate: 2, rateHeld: 3, permitsHeld: 2 }] })
    refuse(res, 'unknownItem')
  }
}

function refuse (res: ServerResponse, name: ResultName): void {
  sendFailure(res, createFailure(name), 'r')
}
