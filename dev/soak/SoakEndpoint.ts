import type { StoreTables } from '../store/StoreTables.js'
import { PlatformEndpoint } from '../store/PlatformEndpoint.js'
import type { SoakLedger } from './SoakLedger.js'

/** What an address for endpoints needs. */
interface SoakEndpointOptions {
  readonly host: string
  readonly port: number
  readonly zone: string
  readonly workMs: number
  readonly tables: StoreTables
  readonly ledger: SoakLedger
}

const slots = 4

/** An address at which one endpoint after the other runs; each incarnation has an id of its own. */
export class SoakEndpoint {
  current: PlatformEndpoint | undefined
  /** A fault is ending the incarnation, and will start the next one. */
  isEnding = false
  private service = ''
  private starts = 0

  constructor (private readonly options: SoakEndpointOptions) {}

  get zone (): string {
    return this.options.zone
  }

  /** Starts an incarnation of a service and registers it. */
  async start (service: string): Promise<void> {
    const { host, port, workMs, zone, ledger } = this.options
    this.starts += 1
    this.service = service
    const endpoint = new PlatformEndpoint(`e-${host.split('.').at(-1)}-${this.starts}`, slots)
    endpoint.workMs = workMs
    endpoint.onRun = ({ id, method, path, body, headers, atMs }) => {
      ledger.runs.push({ id, endpoint: endpoint.id, service, zone, method, path, body, deadlineMs: Number(headers['x-deadline-ms'] ?? Infinity), atMs })
    }
    await endpoint.listen(host, port)
    this.current = endpoint
    this.register('ready')
  }

  /** Announces that it leaves; it works on until it is ended. */
  drain (): void {
    if (this.current === undefined) return
    this.register('draining')
    this.options.ledger.orders.push({ kind: 'drain', endpoint: this.current.id, atMs: performance.now() })
  }

  /** Ends the incarnation; its entry goes only when it left by plan. */
  end (isPlanned: boolean): void {
    const endpoint = this.current
    if (endpoint === undefined) return
    this.current = undefined
    endpoint.close()
    if (isPlanned) this.options.tables.remove('servers', endpoint.id)
  }

  /** Removes the entry of an incarnation that crashed. */
  forget (id: string): void {
    this.options.tables.remove('servers', id)
  }

  get serviceName (): string {
    return this.service
  }

  private register (state: 'ready' | 'draining'): void {
    const { tables, zone } = this.options
    tables.put('servers', this.current!.id, this.current!.describe(this.service, zone, { state }))
  }
}
