import { match } from 'ts-pattern'
import { WorkClass } from '../model/WorkClass.js'

/** Share of a link between regions that one host may use. */
interface LinkShare {
  readonly bytesPerSecond: number
  readonly orderWeight: number
  readonly bulkWeight: number
  /** Fraction that bulk gets whatever else waits. */
  readonly bulkMinimum: number
}

/** Use of the link by one class. */
interface ClassUse {
  /** Time in ms when the bytes reserved so far are sent. */
  nextFreeMs: number
  /** Bytes per second over the last window. */
  rate: number
  windowBytes: number
}

const windowMs = 200
const msPerSecond = 1_000
/** A class counts as active while it used more than this fraction of the link. */
const activeFraction = 0.01
/** Smallest fraction of the link left to orders when interactive work fills it. */
const orderMinimum = 0.05

/**
 * Paces one host's bytes to another region: interactive first, then orders, bulk last with a guaranteed minimum.
 * When orders and bulk both wait they share what interactive work leaves by their weights.
 */
export class LinkBudget {
  private readonly uses: Record<WorkClass, ClassUse> = {
    [WorkClass.interactive]: createClassUse(),
    [WorkClass.order]: createClassUse(),
    [WorkClass.bulk]: createClassUse()
  }

  private windowStartMs = 0

  constructor (private share: LinkShare) {}

  setShare (share: LinkShare): void {
    this.share = share
  }

  /** Reserves bytes and returns the ms to wait before they may be sent. */
  reserve (workClass: WorkClass, bytes: number, nowMs: number): number {
    this.rollWindow(nowMs)
    const use = this.uses[workClass]
    const startMs = Math.max(nowMs, use.nextFreeMs)
    use.nextFreeMs = startMs + bytes * msPerSecond / this.rateFor(workClass)
    use.windowBytes += bytes
    return startMs - nowMs
  }

  /** Ms that a byte reserved now would wait. */
  delayMs (workClass: WorkClass, nowMs: number): number {
    return Math.max(0, this.uses[workClass].nextFreeMs - nowMs)
  }

  /** Bytes per second that a class may send now. */
  rateFor (workClass: WorkClass): number {
    const { bytesPerSecond, orderWeight, bulkWeight, bulkMinimum } = this.share
    const left = Math.max(0, bytesPerSecond - this.uses.interactive.rate)
    const orderFraction = orderWeight / (orderWeight + bulkWeight)
    return match(workClass)
      .with(WorkClass.interactive, () => bytesPerSecond * (1 - bulkMinimum))
      .with(WorkClass.order, () => Math.max(bytesPerSecond * orderMinimum, this.isActive(WorkClass.bulk) ? left * orderFraction : left))
      .with(WorkClass.bulk, () => Math.max(bytesPerSecond * bulkMinimum, this.isActive(WorkClass.order) ? left * (1 - orderFraction) : left))
      .exhaustive()
  }

  private isActive (workClass: WorkClass): boolean {
    return this.uses[workClass].rate > this.share.bytesPerSecond * activeFraction
  }

  private rollWindow (nowMs: number): void {
    const elapsedMs = nowMs - this.windowStartMs
    if (elapsedMs < windowMs) return
    for (const use of Object.values(this.uses)) {
      use.rate = Math.min(use.windowBytes * msPerSecond / elapsedMs, this.share.bytesPerSecond)
      use.windowBytes = 0
    }
    this.windowStartMs = nowMs
  }
}

function createClassUse (): ClassUse {
  return { nextFreeMs: 0, rate: 0, windowBytes: 0 }
}
