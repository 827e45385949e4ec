import { soakLimits } from './soakLimits.js'

/** A time in which something was disturbed. */
interface Disturbance {
  readonly fromMs: number
  untilMs: number
}

/** Remembers when hosts and the store were disturbed, since promises with a time hold for calm ones only. */
export class CalmLog {
  private readonly byName = new Map<string, Disturbance[]>()

  /** Begins a disturbance of a host or `store`; the returned function ends it. */
  disturb (name: string, nowMs: number): (endMs: number) => void {
    const disturbance = { fromMs: nowMs, untilMs: Infinity }
    this.byName.set(name, [...this.byName.get(name) ?? [], disturbance])
    return (endMs) => { disturbance.untilMs = endMs }
  }

  /** True when neither the host nor the store was disturbed from `calmMs` before a span until its end. */
  isCalm (host: string, fromMs: number, untilMs: number): boolean {
    return [host, 'store'].every((name) => this.isUndisturbed(name, fromMs - soakLimits.calmMs, untilMs))
  }

  isUndisturbed (name: string, fromMs: number, untilMs: number): boolean {
    return (this.byName.get(name) ?? []).every((row) => row.untilMs < fromMs || row.fromMs > untilMs)
  }
}
