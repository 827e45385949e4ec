import type { StoreTables } from '../store/StoreTables.js'
import { PlatformEndpoint } from '../store/PlatformEndpoint.js'
import type { SoakHistory } from './SoakHistory.js'

/** Address, zone, service time and records of the endpoints at one address. */
interface SoakEndpointOptions {
  readonly host: string
  readonly port: number
  readonly zone: string
  readonly region: string
  readonly serviceMs: number
  readonly tables: StoreTables
  readonly history: SoakHistory
}

const slots = 4
/** Statuses of endpoints that fail after they ran a request; the last three usually mean that it did not run. */
const errorStatuses = [500, 503, 429, 408]

/** An address at which endpoints run one after the other; each incarnation has its own id. */
export class SoakEndpoint {
  current: PlatformEndpoint | undefined
  /** True while a fault is stopping this incarnation; the same fault starts the next one. */
  isStopping = false
  private service = ''
  private startCount = 0

  constructor (private readonly options: SoakEndpointOptions) {}

  get zone (): string {
    return this.options.zone
  }

  get region (): string {
    return this.options.region
  }

  /** Starts an incarnation for a service and registers it. */
  async start (service: string): Promise<void> {
    const { host, port, serviceMs, zone, region, history } = this.options
    this.startCount += 1
    this.service = service
    const endpoint = new PlatformEndpoint(`e-${host.split('.').at(-1)}-${this.startCount}`, slots)
    endpoint.serviceMs = serviceMs
    endpoint.errorStatuses = errorStatuses
    endpoint.onArrival = (id) => history.arrivals.push({ id, service, atMs: performance.now() })
    endpoint.onRun = ({ id, method, path, body, headers, atMs }) => {
      history.runs.push({ id, endpoint: endpoint.id, service, zone, region, method, path, body, deadlineMs: Number(headers['x-deadline-ms'] ?? Infinity), atMs })
    }
    await endpoint.listen(host, port)
    this.current = endpoint
    this.register('ready')
  }

  /** Registers the incarnation as draining; it still serves requests until it is stopped. */
  drain (): void {
    if (this.current === undefined) return
    this.register('draining')
    this.recordLeaving(this.current.id)
  }

  /** Removes the entry of the incarnation without an announcement; it still serves requests until it is stopped. */
  withdraw (): void {
    if (this.current === undefined) return
    this.deregister(this.current.id)
    this.recordLeaving(this.current.id)
  }

  /** Stops the incarnation; its registry entry is removed only when the stop was planned. */
  stop (isPlanned: boolean): void {
    const endpoint = this.current
    if (endpoint === undefined) return
    this.current = undefined
    endpoint.close()
    if (isPlanned) this.options.tables.remove('servers', endpoint.id)
  }

  /** Removes the registry entry of a crashed incarnation. */
  deregister (id: string): void {
    this.options.tables.remove('servers', id)
  }

  get serviceName (): string {
    return this.service
  }

  private recordLeaving (id: string): void {
    this.options.history.changes.push({ kind: 'drain', endpoint: id, atMs: performance.now() })
  }

  private register (state: 'ready' | 'draining'): void {
    const { tables, zone } = this.options
    tables.put('servers', this.current!.id, this.current!.describe(this.service, zone, { state }))
  }
}
