import { System } from '../common/System.js'
import { DrainKind } from '../model/DrainKind.js'
import type { EntryModules } from './EntryModules.js'
import type { OperationMetrics } from './OperationMetrics.js'

const intervalMs = 250

/** Records the headroom of services, and the time that owned endpoints take to become idle after their drain began. */
export class OperationSystem extends System {
  override readonly name = 'operation'
  private lastRunMs = -Infinity
  /** Start of each drain by endpoint; undefined once its duration has been recorded. */
  private readonly drains = new Map<string, number | undefined>()

  constructor (private readonly steer: EntryModules['steer'], private readonly metrics: OperationMetrics) {
    super()
  }

  override run (nowMs: number): void {
    if (nowMs - this.lastRunMs < intervalMs) return
    this.lastRunMs = nowMs
    for (const { service, slots, used } of this.steer.listLoads()) {
      if (slots > 0) this.metrics.measuredHeadroom(service, Math.max(0, 1 - used / slots))
    }
    this.recordDrains(nowMs)
  }

  private recordDrains (nowMs: number): void {
    const inFlight = this.steer.drainInFlight()
    for (const name of this.drains.keys()) {
      if (!(name in inFlight)) this.drains.delete(name)
    }
    for (const [name, count] of Object.entries(inFlight)) {
      if (!this.drains.has(name)) this.drains.set(name, nowMs)
      const startMs = this.drains.get(name)
      if (count > 0 || startMs === undefined) continue
      this.metrics.drained(DrainKind.upstream, nowMs - startMs)
      this.drains.set(name, undefined)
    }
  }
}
