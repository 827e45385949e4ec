import { match } from 'ts-pattern'
import { WorkClass } from '../model/WorkClass.js'

/** Share of a link between regions that one host may use, and how its classes divide it. */
interface LinkShare {
  readonly bytesPerSecond: number
  readonly orderWeight: number
  readonly bulkWeight: number
  /** Fraction of the link that bulk always gets. */
  readonly bulkMinimum: number
}

/** Link usage of one class. */
interface ClassUse {
  /** Time in ms at which all bytes reserved so far have been sent. */
  nextFreeMs: number
  /** Bytes per second in the last window. */
  rate: number
  windowBytes: number
}

const windowMs = 200
const msPerSecond = 1_000
/** A class counts as active when it used more than this fraction of the link in the last window. */
const activeFraction = 0.01
/** Fraction of the link that orders get even when interactive requests fill it. */
const orderMinimum = 0.05

/**
 * Paces the bytes that one host sends to another region. Interactive requests take precedence over orders and bulk; when
 * both of these are active, they divide the remaining bandwidth by their weights. Bulk has a guaranteed minimum.
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

  /** Returns how many ms a byte reserved now would wait. */
  delayMs (workClass: WorkClass, nowMs: number): number {
    return Math.max(0, this.uses[workClass].nextFreeMs - nowMs)
  }

  /** Returns the bytes per second that a class may send now. */
  rateFor (workClass: WorkClass): number {
    const { bytesPerSecond, orderWeight, bulkWeight, bulkMinimum } = this.share
    const free = Math.max(0, bytesPerSecond - this.uses.interactive.rate)
    const orderFraction = orderWeight / (orderWeight + bulkWeight)
    return match(workClass)
      .with(WorkClass.interactive, () => bytesPerSecond * (1 - bulkMinimum))
      .with(WorkClass.order, () => Math.max(bytesPerSecond * orderMinimum, this.isActive(WorkClass.bulk) ? free * orderFraction : free))
      .with(WorkClass.bulk, () => Math.max(bytesPerSecond * bulkMinimum, this.isActive(WorkClass.order) ? free * (1 - orderFraction) : free))
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
