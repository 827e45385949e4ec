import { soakLimits } from './soakLimits.js'

/** A period in which faults affected a host or the store. */
interface Disturbance {
  readonly fromMs: number
  untilMs: number
}

/** Records when faults affected hosts and the store; promises with a time bound are checked only for undisturbed hosts. */
export class DisturbanceLog {
  private readonly byName = new Map<string, Disturbance[]>()

  /** Begins a disturbance of a host or of `store`; the returned function ends it. */
  begin (name: string, nowMs: number): (endMs: number) => void {
    const disturbance = { fromMs: nowMs, untilMs: Infinity }
    this.byName.set(name, [...this.byName.get(name) ?? [], disturbance])
    return (endMs) => { disturbance.untilMs = endMs }
  }

  /** Returns whether neither the host nor the store was disturbed during a period and the `settleMs` before it. */
  isHostUndisturbed (host: string, fromMs: number, untilMs: number): boolean {
    return [host, 'store'].every((name) => this.isUndisturbed(name, fromMs - soakLimits.settleMs, untilMs))
  }

  isUndisturbed (name: string, fromMs: number, untilMs: number): boolean {
    return (this.byName.get(name) ?? []).every((row) => row.untilMs < fromMs || row.fromMs > untilMs)
  }
}
