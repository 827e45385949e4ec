import { Agent, createServer, request } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { match } from 'ts-pattern'
import { DialMap } from '../../src/common/DialMap.js'
import type { Settings } from '../../src/config/Settings.js'
import type { EndpointSpec } from '../../src/model/EndpointSpec.js'
import type { BaselinePlan } from './BaselinePlan.js'
import type { EndpointSelector } from './EndpointSelector.js'
import { NearestSelector } from './NearestSelector.js'
import { LeastInFlightSelector } from './LeastInFlightSelector.js'
import { RandomSelector } from './RandomSelector.js'
import { StaticCap } from './StaticCap.js'

/** Path and endpoints of a service, the nearest endpoint first. */
interface BaselineService {
  readonly path: string
  readonly endpoints: readonly EndpointSpec[]
}

const lookupTtlMs = 2_000
const bearerPrefix = 'Bearer demo-'

/** Forwards requests as a simple proxy to compare the system with: without views, loans, claims or retries. */
export class BaselineServer {
  private readonly agent = new Agent({ keepAlive: true, noDelay: true })
  private readonly dial: DialMap
  private readonly selector: EndpointSelector
  private readonly services: readonly BaselineService[]
  private readonly capByCustomer: ReadonlyMap<string, StaticCap>
  private readonly lookupBody: string
  private requestCount = 0

  constructor (private readonly settings: Settings, plan: BaselinePlan) {
    this.dial = new DialMap(settings.dial)
    this.selector = match(plan.policy)
      .with('random', () => new RandomSelector())
      .with('local', () => new LeastInFlightSelector())
      .with('passthrough', () => new NearestSelector())
      .exhaustive()
    this.services = plan.deployment.services.map(({ name, path }) => ({ path, endpoints: this.rankEndpoints(plan, name) }))
    const caps = plan.contracts.map((contract) => [contract.customer, new StaticCap(contract, plan.deployment.hosts.length)] as const)
    this.capByCustomer = new Map(plan.policy === 'local' ? caps : [])
    this.lookupBody = JSON.stringify({ version: 1, ttlMs: lookupTtlMs, entries: this.rankHosts(plan) })
  }

  async listen (): Promise<void> {
    const server = createServer({ keepAliveTimeout: 60_000, requestTimeout: 0 }, (req, res) => this.handle(req, res))
    await new Promise<void>((resolve) => server.listen(this.settings.ports.caller, this.settings.address, resolve))
  }

  private rankEndpoints ({ deployment: { endpoints, zones } }: BaselinePlan, service: string): EndpointSpec[] {
    const regionOf = (zone: string): string | undefined => zones.find(({ name }) => name === zone)?.region
    const distance = ({ zone }: EndpointSpec): number => zone === this.settings.zone ? 0 : regionOf(zone) === regionOf(this.settings.zone) ? 1 : 2
    return endpoints.filter((endpoint) => endpoint.service === service).sort((a, b) => distance(a) - distance(b))
  }

  private rankHosts ({ deployment: { hosts, zones } }: BaselinePlan): unknown[] {
    const regionOf = (zone: string): string | undefined => zones.find(({ name }) => name === zone)?.region
    const self = hosts.filter(({ name }) => name === this.settings.host)
    const near = hosts.filter(({ name, zone }) => name !== this.settings.host && regionOf(zone) === regionOf(this.settings.zone))
    const far = hosts.filter((host) => !self.includes(host) && !near.includes(host))
    return [...self, ...near, ...far].map(({ name, zone, address, ports }) =>
      ({ host: name, zone, region: regionOf(zone), url: `http://${address}:${ports.caller}`, keyPrefix: `${name}.0.` }))
  }

  private handle (req: IncomingMessage, res: ServerResponse): void {
    const url = req.url ?? '/'
    if (url.startsWith('/v1/lookup')) return sendJson(res, 200, this.lookupBody, {})
    const service = this.services.find(({ path }) => url.startsWith(`/${path}/`))
    const customer = (req.headers.authorization ?? '').slice(bearerPrefix.length)
    const endpoint = service === undefined ? undefined : this.selector.select(service.endpoints)
    if (endpoint === undefined) return sendError(res, 404, 1005, 'not-run')
    const cap = this.capByCustomer.get(customer)
    if (cap !== undefined && !cap.admit()) {
      this.selector.release(endpoint)
      return sendError(res, 429, 2001, 'not-run')
    }
    this.forward(req, res, endpoint, customer)
    res.on('close', () => {
      this.selector.release(endpoint)
      cap?.release()
    })
  }

  private forward (req: IncomingMessage, res: ServerResponse, endpoint: EndpointSpec, customer: string): void {
    this.requestCount += 1
    const { authorization: _credential, connection: _hopByHop, ...headers } = req.headers
    const upstreamReq = request({
      ...this.dial.resolve(endpoint.address),
      method: req.method,
      path: req.url,
      headers: { 'shunt-request-id': `${this.settings.host}-${this.requestCount}`, ...headers, 'shunt-customer': customer },
      agent: this.agent
    })
    upstreamReq.on('error', () => {
      if (res.headersSent) res.destroy()
      else sendError(res, 502, 5002, 'unknown')
    })
    upstreamReq.on('response', (upstreamRes) => {
      if (upstreamRes.headers['upstream-not-run'] !== undefined) {
        upstreamRes.resume()
        return sendError(res, 503, 5005, 'not-run')
      }
      res.writeHead(upstreamRes.statusCode ?? 502, upstreamRes.headers)
      upstreamRes.pipe(res)
      upstreamRes.on('error', () => res.destroy())
    })
    req.pipe(upstreamReq)
    res.on('close', () => { if (!res.writableFinished) upstreamReq.destroy() })
  }
}

function sendError (res: ServerResponse, status: number, code: number, outcome: string): void {
  sendJson(res, status, JSON.stringify({ code, outcome }), { 'Shunt-Code': code, 'Shunt-Outcome': outcome })
}

function sendJson (res: ServerResponse, status: number, body: string, headers: Record<string, string | number>): void {
  if (res.headersSent || res.destroyed) return
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...headers })
  res.end(body)
}
