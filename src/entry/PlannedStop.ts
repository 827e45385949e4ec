import type { Clock } from '../common/Clock.js'
import type { Logger } from '../common/Logger.js'
import { DrainKind } from '../model/DrainKind.js'
import type { EntryGateway } from './EntryGateway.js'
import type { EntryModules } from './EntryModules.js'
import type { OperationMetrics } from './OperationMetrics.js'

/** What a planned stop works on. */
interface PlannedStopOptions {
  readonly gateway: EntryGateway
  readonly modules: EntryModules
  readonly logger: Logger
  /** Tells other hosts at once that this host is leaving. */
  readonly announce: () => void
  readonly stopTimeoutMs: number
  readonly clock: Clock
  readonly metrics: OperationMetrics
}

/** Time in ms for callers to learn that the host is leaving before it takes no further work. */
const noticeMs = 1_500
/** Time in ms for short requests to end before claims are handed over; uploads go on after it. */
const graceMs = 1_000
const pollMs = 20
/** Time in ms for the ends of idle connections to reach their other sides. */
const settleMs = 200

/** Takes a host out of service without cutting a request. */
export class PlannedStop {
  private started: Promise<void> | undefined

  constructor (private readonly options: PlannedStopOptions) {}

  get isStarted (): boolean {
    return this.started !== undefined
  }

  /** Resolves once no request is in flight or the time-out has passed; later calls join the first. */
  async run (): Promise<void> {
    this.started ??= this.stop()
    await this.started
  }

  private async stop (): Promise<void> {
    const { gateway, modules, logger, stopTimeoutMs, clock, metrics } = this.options
    const startMs = clock.nowMs()
    logger.info('leaving', { inFlight: gateway.inFlight })
    gateway.state.isLeaving = true
    this.options.announce()
    await sleep(noticeMs)
    // New connections are still taken and refused: closing the listener would reset those in its backlog.
    gateway.state.refusesWork = true
    gateway.callers.closeIdle()
    // A request that has no claim yet gets none once the claims are handed over.
    await this.waitUntilEmpty(graceMs)
    await this.handOver(modules)
    const isEmpty = await this.waitUntilEmpty(stopTimeoutMs)
    if (isEmpty) metrics.drained(DrainKind.host, clock.nowMs() - startMs)
    else logger.warn('stop-timeout', { inFlight: gateway.inFlight })
    gateway.internal.closeListener()
    gateway.internal.closeIdle()
    // A forward may have arrived between the two.
    if (isEmpty) await this.waitUntilEmpty(stopTimeoutMs)
    gateway.callers.closeListener()
    await sleep(settleMs)
    logger.info('left', { inFlight: gateway.inFlight })
  }

  private async handOver (modules: EntryModules): Promise<void> {
    const steps = [modules.steer, modules.claim, modules.share].map(async (module) => await module.prepareStop())
    for (const result of await Promise.allSettled(steps)) {
      if (result.status === 'rejected') this.options.logger.warn('hand-over-failed', { error: String(result.reason) })
    }
  }

  private async waitUntilEmpty (timeoutMs: number): Promise<boolean> {
    for (let waitedMs = 0; this.options.gateway.inFlight > 0; waitedMs += pollMs) {
      if (waitedMs >= timeoutMs) return false
      await sleep(pollMs)
    }
    return true
  }
}

async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}
