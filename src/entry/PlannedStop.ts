import type { Clock } from '../common/Clock.js'
import type { Logger } from '../common/Logger.js'
import { lookupTtl } from '../model/lookupTtl.js'
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
  readonly sendDigest: () => void
  readonly stopTimeoutMs: number
  readonly clock: Clock
  readonly metrics: OperationMetrics
}

/** Time in ms for the news to reach all lookup processes. */
const propagationMs = 300
/** Time in ms before the host takes no further work: until then callers may use lookup answers that name it. */
const refusalDelayMs = lookupTtl.settledMs + propagationMs
/** Time in ms for short requests to end before claims are handed over; uploads go on after it. */
const handOverDelayMs = 1_000
const pollMs = 20
/** Time in ms for the ends of idle connections to reach their other sides. */
const closeDelayMs = 200

/** Takes a host out of service without cutting a request. */
export class PlannedStop {
  private completion: Promise<void> | undefined

  constructor (private readonly options: PlannedStopOptions) {}

  get isStarted (): boolean {
    return this.completion !== undefined
  }

  /** Resolves once no request is in flight or the time-out has passed; later calls join the first. */
  async run (): Promise<void> {
    this.completion ??= this.stop()
    await this.completion
  }

  private async stop (): Promise<void> {
    const { gateway, modules, logger, stopTimeoutMs, clock, metrics } = this.options
    const startMs = clock.nowMs()
    logger.info('leaving', { inFlight: gateway.inFlight })
    gateway.state.isLeaving = true
    this.options.sendDigest()
    await sleep(refusalDelayMs)
    // New connections are still taken and refused: closing the listener would reset those in its backlog.
    gateway.state.refusesRequests = true
    gateway.callerServer.closeIdle()
    // A request that has no claim yet gets none once the claims are handed over.
    await this.waitUntilIdle(handOverDelayMs)
    await this.handOver(modules)
    const isIdle = await this.waitUntilIdle(stopTimeoutMs)
    if (isIdle) metrics.drained(DrainKind.host, clock.nowMs() - startMs)
    else logger.warn('stop-timeout', { inFlight: gateway.inFlight })
    gateway.internalServer.closeListener()
    gateway.internalServer.closeIdle()
    // A forward may have arrived between the two.
    if (isIdle) await this.waitUntilIdle(stopTimeoutMs)
    gateway.callerServer.closeListener()
    await sleep(closeDelayMs)
    logger.info('left', { inFlight: gateway.inFlight })
  }

  private async handOver (modules: EntryModules): Promise<void> {
    const steps = [modules.steer, modules.claim, modules.share].map(async (module) => await module.prepareStop())
    for (const result of await Promise.allSettled(steps)) {
      if (result.status === 'rejected') this.options.logger.warn('hand-over-failed', { error: String(result.reason) })
    }
  }

  private async waitUntilIdle (timeoutMs: number): Promise<boolean> {
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
