import { ControlServer } from '../common/ControlServer.js'
import type { StorePlan } from './StorePlan.js'
import { StoreServer } from './StoreServer.js'

/** State of an upstream in the registry. */
type UpstreamState = 'ready' | 'draining'

const registryTable = 'servers'
const ownTable = 'sapphireshunt'

/** Runs the store stand-in in its own process, with a control interface for its faults. */
export class StoreProcess {
  private readonly store = new StoreServer()
  private readonly control: ControlServer
  private readonly startedAtMs = Date.now()
  private registryLagMs: number

  constructor (private readonly plan: StorePlan) {
    this.registryLagMs = plan.registryLagMs
    for (const name of plan.upstreams) this.register(name, 'ready')
    this.control = new ControlServer({
      fault: async (body) => await this.setFaults(body),
      rollback: (body) => ({ undone: this.store.tables.rollBack(Number(body.count ?? 1)) }),
      upstream: (body) => this.setUpstream(String(body.name), body.state === 'draining' ? 'draining' : 'ready'),
      lag: (body) => { this.registryLagMs = Number(body.ms) },
      row: (body) => this.readRow(String(body.row)),
      counts: () => ({ ...Object.fromEntries(this.store.calls), upMs: Date.now() - this.startedAtMs })
    })
  }

  async start (): Promise<void> {
    await this.open()
    await this.control.listen(this.plan.address, this.plan.controlPort)
  }

  async close (): Promise<void> {
    this.store.close()
    await this.control.close()
  }

  private async open (): Promise<void> {
    await this.store.listen(this.plan.address, this.plan.port)
  }

  /** Sets faults; the mode `refuse` closes the port, `hang` accepts calls without responding. */
  private async setFaults (body: Record<string, unknown>): Promise<void> {
    const { faults } = this.store
    if (body.delayMs !== undefined) faults.delayMs = Number(body.delayMs)
    if (body.loseAnswers !== undefined) Object.assign(faults, { losesWriteAnswers: Number(body.loseAnswers) > 0, lostAnswers: Number(body.loseAnswers) })
    if (body.mode === undefined) return
    faults.down = body.mode === 'hang' ? 'silence' : undefined
    if (body.mode === 'refuse') this.store.close()
    else if (!this.store.isListening) await this.open()
  }

  private setUpstream (name: string, state: UpstreamState): void {
    if (!this.plan.upstreams.includes(name)) throw new Error(`upstream "${name}" is not in the registry`)
    setTimeout(() => this.register(name, state), this.registryLagMs)
  }

  private register (name: string, state: UpstreamState): void {
    this.store.tables.put(registryTable, name, { status: { state, sequence: 1 } })
  }

  private readRow (row: string): { readonly version: number, readonly value?: unknown } {
    const current = this.store.tables.get(ownTable, row)
    if (current?.value === undefined) return { version: 0 }
    return { version: current.ver, value: JSON.parse(Buffer.from(current.value, 'base64').toString('utf8')) as unknown }
  }
}
