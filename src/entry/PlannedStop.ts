import type { Clock } from '../common/Clock.js'
import type { Logger } from '../common/Logger.js'
import { sleep } from '../common/sleep.js'
import { lookupTtl } from '../model/lookupTtl.js'
import { DrainKind } from '../model/DrainKind.js'
import type { EntryGateway } from './EntryGateway.js'
import { entryLimits } from './entryLimits.js'
import type { EntryModules } from './EntryModules.js'
import type { OperationMetrics } from './OperationMetrics.js'

/** Dependencies of a planned stop. */
interface PlannedStopOptions {
  readonly gateway: EntryGateway
  readonly modules: EntryModules
  readonly logger: Logger
  /** Sends a digest immediately, so that other hosts learn that this host is leaving. */
  readonly sendDigest: () => void
  readonly stopTimeoutMs: number
  readonly clock: Clock
  readonly metrics: OperationMetrics
}

/** Time in ms for the digest to reach all lookup processes. */
const propagationMs = 300
/** Time in ms before the host refuses new requests: until then callers may use lookup results that contain it. */
const refusalDelayMs = lookupTtl.settledMs + propagationMs
/** Maximum wait in ms for short requests before claims are handed over; uploads continue after it. */
const handOverDelayMs = 1_000
const pollMs = 20
/** Time in ms for the closing of idle connections to reach the callers. */
const closeDelayMs = 200

/** Takes a host out of service without interrupting requests in flight. */
export class PlannedStop {
  private completion: Promise<void> | undefined

  constructor (private readonly options: PlannedStopOptions) {}

  get isStarted (): boolean {
    return this.completion !== undefined
  }

  /** Resolves once no request is in flight or the timeout has passed; later calls return the result of the first. */
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
    // The listener stays open and new requests are refused: closing it would reset the connections in its backlog.
    gateway.state.refusesRequests = true
    gateway.callerServer.closeIdle()
    // Requests without a claim can no longer obtain one after the hand-over.
    await this.waitUntilIdle(handOverDelayMs)
    await this.handOver(modules)
    const isIdle = await this.waitUntilIdle(stopTimeoutMs)
    if (isIdle) metrics.drained(DrainKind.host, clock.nowMs() - startMs)
    else logger.warn('stop-timeout', { inFlight: gateway.inFlight })
    await gateway.internalServer.drainListener()
    gateway.internalServer.closeIdle()
    // A forwarded request may have arrived before the internal listener was closed.
    if (isIdle) await this.waitUntilIdle(stopTimeoutMs)
    await gateway.callerServer.drainListener()
    await sleep(closeDelayMs)
    await waitUntil(() => gateway.callerServer.connections === 0, entryLimits.lingerMs)
    logger.info('left', { inFlight: gateway.inFlight })
  }

  private async handOver (modules: EntryModules): Promise<void> {
    const steps = [modules.steer, modules.claim, modules.share].map(async (module) => await module.prepareStop())
    for (const result of await Promise.allSettled(steps)) {
      if (result.status === 'rejected') this.options.logger.warn('hand-over-failed', { error: String(result.reason) })
    }
  }

  private async waitUntilIdle (timeoutMs: number): Promise<boolean> {
    return await waitUntil(() => this.options.gateway.inFlight === 0, timeoutMs)
  }
}

/** Waits for a condition; returns false when it does not hold within the time. */
async function waitUntil (condition: () => boolean, timeoutMs: number): Promise<boolean> {
  for (let waitedMs = 0; !condition(); waitedMs += pollMs) {
    if (waitedMs >= timeoutMs) return false
    await sleep(pollMs)
  }
  return true
}
