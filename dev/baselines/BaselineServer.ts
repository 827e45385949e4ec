import { Agent, createServer, request } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { match } from 'ts-pattern'
import { DialMap } from '../../src/common/DialMap.js'
import type { Settings } from '../../src/config/Settings.js'
import type { EndpointSpec } from '../../src/model/EndpointSpec.js'
import type { BaselinePlan } from './BaselinePlan.js'
import type { EndpointChoice } from './EndpointChoice.js'
import { FixedChoice } from './FixedChoice.js'
import { LeastInFlightChoice } from './LeastInFlightChoice.js'
import { RandomChoice } from './RandomChoice.js'
import { StaticCap } from './StaticCap.js'

/** Endpoints of a service, the nearest first. */
interface BaselineService {
  readonly path: string
  readonly endpoints: readonly EndpointSpec[]
}

const lookupTtlMs = 2_000
const bearerPrefix = 'Bearer demo-'

/** A small forwarder to compare the system with: no views, no loans, no claims, no retries. */
export class BaselineServer {
  private readonly agent = new Agent({ keepAlive: true, noDelay: true })
  private readonly dial: DialMap
  private readonly choice: EndpointChoice
  private readonly services: readonly BaselineService[]
  private readonly caps: ReadonlyMap<string, StaticCap>
  private readonly lookupBody: string
  private count = 0

  constructor (private readonly settings: Settings, plan: BaselinePlan) {
    this.dial = new DialMap(settings.dial)
    this.choice = match(plan.policy)
      .with('random', () => new RandomChoice())
      .with('local', () => new LeastInFlightChoice())
      .with('passthrough', () => new FixedChoice())
      .exhaustive()
    this.services = plan.deployment.services.map(({ name, path }) => ({ path, endpoints: this.listEndpoints(plan, name) }))
    const caps = plan.contracts.map((contract) => [contract.customer, new StaticCap(contract, plan.deployment.hosts.length)] as const)
    this.caps = new Map(plan.policy === 'local' ? caps : [])
    this.lookupBody = JSON.stringify({ version: 1, ttlMs: lookupTtlMs, entries: this.listEntries(plan) })
  }

  async listen (): Promise<void> {
    const server = createServer({ keepAliveTimeout: 60_000, requestTimeout: 0 }, (req, res) => this.handle(req, res))
    await new Promise<void>((resolve) => server.listen(this.settings.ports.caller, this.settings.address, resolve))
  }

  private listEndpoints ({ deployment: { endpoints, zones } }: BaselinePlan, service: string): EndpointSpec[] {
    const regionOf = (zone: string): string | undefined => zones.find(({ name }) => name === zone)?.region
    const distance = ({ zone }: EndpointSpec): number => zone === this.settings.zone ? 0 : regionOf(zone) === regionOf(this.settings.zone) ? 1 : 2
    return endpoints.filter((endpoint) => endpoint.service === service).sort((a, b) => distance(a) - distance(b))
  }

  private listEntries ({ deployment: { hosts, zones } }: BaselinePlan): unknown[] {
    const regionOf = (zone: string): string | undefined => zones.find(({ name }) => name === zone)?.region
    const own = hosts.filter(({ name }) => name === this.settings.host)
    const near = hosts.filter(({ name, zone }) => name !== this.settings.host && regionOf(zone) === regionOf(this.settings.zone))
    const far = hosts.filter((host) => !own.includes(host) && !near.includes(host))
    return [...own, ...near, ...far].map(({ name, zone, address, ports }) =>
      ({ host: name, zone, region: regionOf(zone), url: `http://${address}:${ports.caller}`, keyPrefix: `${name}.0.` }))
  }

  private handle (req: IncomingMessage, res: ServerResponse): void {
    const url = req.url ?? '/'
    if (url.startsWith('/v1/lookup')) return sendJson(res, 200, this.lookupBody, {})
    const service = this.services.find(({ path }) => url.startsWith(`/${path}/`))
    const customer = (req.headers.authorization ?? '').slice(bearerPrefix.length)
    const endpoint = service === undefined ? undefined : this.choice.choose(service.endpoints)
    if (endpoint === undefined) return refuse(res, 404, 1005, 'not-run')
    const cap = this.caps.get(customer)
    if (cap !== undefined && !cap.admit()) {
      this.choice.release(endpoint)
      return refuse(res, 429, 2001, 'not-run')
    }
    this.forward(req, res, endpoint, customer)
    res.on('close', () => {
      this.choice.release(endpoint)
      cap?.release()
    })
  }

  private forward (req: IncomingMessage, res: ServerResponse, endpoint: EndpointSpec, customer: string): void {
    this.count += 1
    const { authorization: _secret, connection: _hop, ...headers } = req.headers
    const upstream = request({
      ...this.dial.resolve(endpoint.address),
      method: req.method,
      path: req.url,
      headers: { 'shunt-request-id': `${this.settings.host}-${this.count}`, ...headers, 'shunt-customer': customer },
      agent: this.agent
    })
    upstream.on('error', () => {
      if (res.headersSent) res.destroy()
      else refuse(res, 502, 5002, 'unknown')
    })
    upstream.on('response', (answer) => {
      if (answer.headers['upstream-not-run'] !== undefined) {
        answer.resume()
        return refuse(res, 503, 5005, 'not-run')
      }
      res.writeHead(answer.statusCode ?? 502, answer.headers)
      answer.pipe(res)
      answer.on('error', () => res.destroy())
    })
    req.pipe(upstream)
    res.on('close', () => { if (!res.writableFinished) upstream.destroy() })
  }
}

function refuse (res: ServerResponse, status: number, code: number, outcome: string): void {
  sendJson(res, status, JSON.stringify({ code, outcome }), { 'Shunt-Code': code, 'Shunt-Outcome': outcome })
}

function sendJson (res: ServerResponse, status: number, body: string, headers: Record<string, string | number>): void {
  if (res.headersSent || res.destroyed) return
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...headers })
  res.end(body)
}
