import { Gauge } from 'prom-client'
import type { Registry } from 'prom-client'
import { ClaimService } from '../claim/ClaimService.js'
import { Daemon } from '../common/Daemon.js'
import type { DaemonContext } from '../common/DaemonContext.js'
import type { Logger } from '../common/Logger.js'
import { createRegistry } from '../metrics/createRegistry.js'
import { EntryMetrics } from '../metrics/EntryMetrics.js'
import { ShareService } from '../share/ShareService.js'
import { SteerService } from '../steer/SteerService.js'
import { EntryDaemon } from './EntryDaemon.js'
import type { CreateEntryModules } from './CreateEntryModules.js'
import { chooseIncarnation } from './chooseIncarnation.js'

/** Creates the entry daemon with its production modules, and a new one after the drain of its host was cancelled. */
export class EntryProcess extends Daemon {
  private readonly logger: Logger
  private readonly registry: Registry
  private readonly metrics: EntryMetrics
  private current: EntryDaemon | undefined
  private stopping: Promise<void> | undefined

  constructor (private readonly context: DaemonContext) {
    super()
    this.logger = context.createModuleLogger('entry')
    this.registry = createRegistry({ host: context.settings.host, process: 'shunt-entry' })
    this.metrics = new EntryMetrics(this.registry, context.clock)
    this.addGauge('shunt_in_flight', 'Requests without a complete answer, callers\' and forwarded ones', () => this.current?.inFlight ?? 0)
    this.addGauge('shunt_caller_connections', 'Open connections of callers', () => this.current?.connections ?? 0)
  }

  async start (): Promise<void> {
    const { settings, clock } = this.context
    this.current = this.createDaemon(await chooseIncarnation(settings, clock))
    await this.current.start()
  }

  override async stop (): Promise<void> {
    this.stopping ??= this.current?.stop()
    await this.stopping
  }

  private createDaemon (incarnation: number): EntryDaemon {
    const { settings, clock, createModuleLogger } = this.context
    return new EntryDaemon({
      settings,
      incarnation,
      clock,
      createLog: createModuleLogger,
      metrics: this.metrics,
      registry: this.registry,
      createModules,
      onDrainCancelled: () => {
        this.replaceDaemon().catch((error: unknown) => this.logger.error('restart-failed', { error: String(error) }))
      }
    })
  }

  // The old daemon has handed over its claims and loans, so only a daemon with a new incarnation may serve.
  private async replaceDaemon (): Promise<void> {
    if (this.stopping !== undefined) return
    this.logger.info('drain-cancelled')
    await this.current?.stop()
    if (this.stopping === undefined) await this.start()
  }

  private addGauge (name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({ name, help, registers: [this.registry], collect: () => gauge.set(read()) })
  }
}

const createModules: CreateEntryModules = (base) => ({
  share: new ShareService(base),
  claim: new ClaimService(base),
  steer: new SteerService({ ...base, random: Math.random })
})
