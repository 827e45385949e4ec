import type { Contract } from '../model/Contract.js'
import type { Blocker } from './Blocker.js'
import { createAmount } from './createAmount.js'
import { DemandMeter } from './DemandMeter.js'
import { HeldLoans } from './HeldLoans.js'
import { LentLoans } from './LentLoans.js'
import type { LoanAmount } from './LoanAmount.js'
import type { PermitSource } from './PermitSource.js'
import type { Portion } from './Portion.js'
import { RetryBudget } from './RetryBudget.js'
import { shareLimits } from './shareLimits.js'

/** Starting state of a row. */
interface CustomerShareOptions {
  readonly contract: Contract
  /** The host's portion without any limit. */
  readonly portion: Portion
  /** The part of the portion that may be used now. */
  readonly usable: Portion
  /** Time before which the host's own rate is not used or lent. */
  readonly rateFromMs: number
  /** Time before which the host's own permits are not used or lent. */
  readonly permitsFromMs: number
  readonly nowMs: number
}

/** Demand of another host that asked for a loan. */
interface Asker {
  need: LoanAmount
  unmet: LoanAmount
  atMs: number
}

/** One host's share of one customer's cap: its portion, less what it lent, plus what it borrowed. */
export class CustomerShare {
  readonly lent = new LentLoans()
  readonly held = new HeldLoans()
  readonly arrivals = new DemandMeter()
  readonly admissions = new DemandMeter()
  readonly uploads = new DemandMeter()
  readonly retries = new RetryBudget()
  readonly askers = new Map<string, Asker>()
  contract: Contract
  portion: Portion
  usable: Portion
  /** True while half of the permits may still be lent for uploads by an earlier process of this host. */
  recovering = false
  /** Requests in the queue, and those of them that need a long permit on a loan. */
  queued = 0
  queuedLong = 0
  /** What kept the last request waiting. */
  blocker: Blocker | undefined
  lastUsedMs: number
  private rateFromMs: number
  private permitsFromMs: number
  private tokens = 0
  private uploadTokens = 0
  private refilledMs: number
  private ownInFlight = 0
  private peakInFlight = 0
  private peakAtMs = 0
  private readonly regions = new Map<string, number>()

  constructor (options: CustomerShareOptions) {
    this.contract = options.contract
    this.portion = options.portion
    this.usable = options.usable
    this.rateFromMs = options.rateFromMs
    this.permitsFromMs = options.permitsFromMs
    this.refilledMs = Math.min(options.nowMs, options.rateFromMs)
    this.lastUsedMs = options.nowMs
    this.advance(options.nowMs)
  }

  /** Brings tokens and loans up to `nowMs`; a borrowed rate counts only until its loan ends. */
  advance (nowMs: number): void {
    for (let end = this.held.findNextEnd(nowMs); end !== undefined; end = this.held.findNextEnd(nowMs)) {
      this.refill(end)
      this.held.lapse(end)
    }
    this.refill(nowMs)
    this.held.lapse(nowMs)
    this.lent.advance(nowMs)
  }

  /** Ends the quarantine early; tokens of the own portion count from now. */
  endQuarantine (nowMs: number): void {
    this.advance(nowMs)
    this.rateFromMs = Math.min(this.rateFromMs, nowMs)
    this.permitsFromMs = Math.min(this.permitsFromMs, nowMs)
  }

  /** Tries to take a token and a permit; tells what is missing otherwise. */
  tryAdmit (nowMs: number, deadlineAtMs: number): PermitSource | Blocker {
    this.advance(nowMs)
    const source = this.findSource(nowMs, deadlineAtMs)
    if (source === undefined) return this.isQuarantined(nowMs, this.permitsFromMs) ? 'quarantine' : 'permit'
    if (this.tokens < 1) return this.isQuarantined(nowMs, this.rateFromMs) ? 'quarantine' : 'rate'
    this.tokens -= 1
    this.admissions.add(nowMs)
    this.retries.addAdmitted(this.contract.rate)
    this.takePermit(source)
    this.notePeak(nowMs)
    return source
  }

  release (source: PermitSource): void {
    if (source.kind === 'own') this.ownInFlight -= 1
    else if (source.kind === 'short') source.loan.usedShort -= 1
    else source.loan.usedLong -= 1
  }

  enterRegion (nowMs: number, region: string): boolean {
    const used = this.regions.get(region) ?? 0
    if (this.contract.regionShare < 1 && used >= this.countRegionPermits(nowMs)) return false
    this.regions.set(region, used + 1)
    return true
  }

  leaveRegion (region: string): void {
    const used = (this.regions.get(region) ?? 0) - 1
    if (used > 0) this.regions.set(region, used)
    else this.regions.delete(region)
  }

  /** Takes upload bytes and returns the ms until they may be sent. */
  reserveUpload (nowMs: number, bytes: number): number {
    this.advance(nowMs)
    this.uploads.add(nowMs, bytes)
    this.lastUsedMs = nowMs
    this.uploadTokens -= bytes
    if (this.uploadTokens >= 0) return 0
    return Math.ceil(-this.uploadTokens * 1_000 / Math.max(1, this.uploadHeld(nowMs)))
  }

  get inFlight (): number {
    return this.held.listAll().reduce((sum, loan) => sum + loan.usedShort + loan.usedLong, this.ownInFlight)
  }

  /** Requests per second that may be admitted now. */
  rateHeld (nowMs: number): number {
    return this.computeOwn(nowMs).rate + this.held.sumValid(nowMs).rate
  }

  /** Time in ms until one more request at the end of the queue would get a token at `rate` per second. */
  estimateWaitMs (rate: number): number {
    return Math.max(0, this.queued + 1 - this.tokens) * 1_000 / rate
  }

  /** Permits held now, in use or free. */
  permitsHeld (nowMs: number): number {
    const own = Math.max(this.ownInFlight, this.ownPermits(nowMs))
    return own + this.held.countPermits(nowMs)
  }

  uploadHeld (nowMs: number): number {
    return this.computeOwn(nowMs).upload + this.held.sumValid(nowMs).upload
  }

  burstHeld (nowMs: number): number {
    return this.computeOwn(nowMs).burst + this.held.sumValid(nowMs).burst
  }

  /** What the host could use now for its own requests; the base of what it asks for and of what it keeps. */
  computeWant (nowMs: number): LoanAmount {
    const demand = this.arrivals.peakRate(nowMs) * shareLimits.demandHeadroom + this.queued
    const rate = Math.min(this.contract.rate, demand)
    const atOnce = this.blocker === 'rate' ? Math.min(this.queued, this.burstHeld(nowMs)) : this.queued
    const busy = this.findPeak(nowMs) + atOnce
    const short = busy === 0 ? 0 : Math.min(this.contract.concurrency, Math.ceil(busy * shareLimits.demandHeadroom))
    const tick = demand === 0 ? 0 : 1 + rate * shareLimits.burstForMs / 1_000
    const burst = Math.min(Math.max(1, this.contract.burst), Math.ceil(Math.max(tick, this.queued)))
    const upload = Math.min(this.contract.uploadBytesPerSecond, this.uploads.peakRate(nowMs) * shareLimits.demandHeadroom)
    return { rate, burst: demand === 0 ? 0 : burst, short, long: this.queuedLong, upload }
  }

  /** What the host may use of its own portion. */
  computeOwn (nowMs: number): LoanAmount {
    const { usable, lent: { total } } = this
    const short = this.ownPermits(nowMs)
    if (nowMs < this.rateFromMs) return createAmount({ short })
    return {
      rate: Math.max(0, usable.rate - total.rate),
      burst: Math.max(0, usable.burst - total.burst),
      short,
      long: short,
      upload: Math.max(0, usable.upload - total.upload)
    }
  }

  /** What is missing for the host's own requests. */
  computeNeed (nowMs: number): LoanAmount {
    const want = this.computeWant(nowMs)
    const missingBurst = Math.max(want.burst - this.burstHeld(nowMs), this.queued - this.tokens)
    return {
      rate: Math.max(0, want.rate - this.rateHeld(nowMs)),
      burst: this.queued > 0 || want.rate > this.usable.rate ? Math.max(0, Math.ceil(missingBurst)) : 0,
      short: Math.max(0, want.short - this.queuedLong - this.permitsHeld(nowMs)),
      long: Math.max(0, this.queuedLong - Math.max(0, this.ownPermits(nowMs) - this.ownInFlight)),
      upload: Math.max(0, want.upload - this.uploadHeld(nowMs))
    }
  }

  /** What may be lent now without taking what the host needs itself. */
  computeLendable (nowMs: number): LoanAmount {
    this.advance(nowMs)
    const want = this.computeWant(nowMs)
    const lent = this.lent.total
    const rateReady = nowMs >= this.rateFromMs
    const keptRate = want.rate + this.usable.rate * shareLimits.keptRateFraction
    const permits = Math.max(0, this.ownPermits(nowMs) - Math.max(this.ownInFlight, want.short))
    const lendable = this.limitByRegions(nowMs, permits)
    const longLeft = Math.floor(this.usable.permits / 2) - lent.long
    const burstLeft = Math.min(this.tokens, this.usable.burst - lent.burst) - 1 - this.queued
    return {
      rate: rateReady ? roundRate(Math.max(0, this.usable.rate - lent.rate - keptRate)) : 0,
      burst: rateReady ? Math.max(0, Math.floor(burstLeft)) : 0,
      short: lendable,
      long: this.recovering ? 0 : Math.max(0, Math.min(lendable, longLeft)),
      upload: rateReady ? Math.floor(Math.max(0, this.usable.upload - lent.upload - want.upload)) : 0
    }
  }

  /** Lends `amount`, which must be within `computeLendable`. */
  lend (borrower: string, incarnation: number, seq: number, amount: LoanAmount, nowMs: number): void {
    this.lent.grant(borrower, incarnation, seq, amount, nowMs)
    this.tokens -= amount.burst
  }

  /** Adds a loan that a lender granted; tokens come with its burst. */
  borrow (lender: string, seq: number, amount: LoanAmount, sentAtMs: number, nowMs: number): void {
    this.advance(nowMs)
    this.held.add(lender, seq, amount, sentAtMs)
    this.tokens += amount.burst
    this.advance(nowMs)
  }

  /** True while the host uses or has lent more than its present portion. */
  isOverPortion (): boolean {
    const { total } = this.lent
    return total.rate > this.usable.rate + 1e-9 || total.upload > this.usable.upload ||
      total.burst > this.usable.burst || total.short + total.long + this.ownInFlight > this.usable.permits
  }

  /** True when the row can be dropped and made anew without anyone noticing. */
  isIdle (nowMs: number): boolean {
    return nowMs - this.lastUsedMs > shareLimits.idleRowMs && this.queued === 0 && this.lent.size === 0 &&
      this.held.size === 0 && this.inFlight === 0 && this.regions.size === 0 &&
      this.tokens >= this.burstHeld(nowMs) && this.uploadTokens >= 0
  }

  /** Demands of other hosts that are not met, as a sum over those that asked lately. */
  sumAskers (nowMs: number, except: string): { need: LoanAmount, unmet: LoanAmount } {
    const need = createAmount()
    const unmet = createAmount()
    for (const [host, asker] of this.askers) {
      if (nowMs - asker.atMs > shareLimits.renewAfterMs * 2) this.askers.delete(host)
      else if (host !== except) {
        addTo(need, asker.need)
        addTo(unmet, asker.unmet)
      }
    }
    return { need, unmet }
  }

  private refill (nowMs: number): void {
    if (this.refilledMs < this.rateFromMs && nowMs > this.rateFromMs) this.refillFrom(this.rateFromMs)
    this.refillFrom(nowMs)
  }

  /** Adds tokens at the rate that holds just before `nowMs`, and drops those over the burst that is held. */
  private refillFrom (nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.refilledMs)
    const at = nowMs - elapsedMs / 2
    const upload = this.uploadHeld(at)
    this.tokens = Math.min(this.burstHeld(at), this.tokens + this.rateHeld(at) * elapsedMs / 1_000)
    this.uploadTokens = Math.min(upload * shareLimits.uploadBurstMs / 1_000, this.uploadTokens + upload * elapsedMs / 1_000)
    this.refilledMs = Math.max(this.refilledMs, nowMs)
  }

  private findSource (nowMs: number, deadlineAtMs: number): PermitSource | undefined {
    const near = deadlineAtMs - nowMs <= shareLimits.shortRequestMs
    const ownFree = this.ownInFlight < this.ownPermits(nowMs)
    if (ownFree && !near) return { kind: 'own' }
    return this.held.findPermit(nowMs, deadlineAtMs) ?? (ownFree ? { kind: 'own' } : undefined)
  }

  private takePermit (source: PermitSource): void {
    if (source.kind === 'own') this.ownInFlight += 1
    else if (source.kind === 'short') source.loan.usedShort += 1
    else source.loan.usedLong += 1
  }

  /** Own permits that may be used by own requests: the portion less what is lent or may still be lent. */
  ownPermits (nowMs: number): number {
    if (nowMs < this.permitsFromMs) return 0
    const { short, long } = this.lent.total
    const lentLong = this.recovering ? Math.max(long, Math.floor(this.portion.permits / 2)) : long
    return Math.max(0, this.usable.permits - short - lentLong)
  }

  private countRegionPermits (nowMs: number): number {
    const { regionShare } = this.contract
    const own = nowMs < this.permitsFromMs ? 0 : Math.max(0, this.usable.regionPermits - this.lent.sumRegionPermits(regionShare))
    const kept = this.recovering ? Math.floor(Math.floor(this.portion.permits / 2) * regionShare) : 0
    return Math.max(0, own - kept) + this.held.countRegionPermits(nowMs, regionShare)
  }

  /** Lowers a number of permits so that giving them away keeps every region's requests within the region share. */
  limitByRegions (nowMs: number, permits: number): number {
    const { regionShare } = this.contract
    if (regionShare >= 1 || this.regions.size === 0) return permits
    const free = this.countRegionPermits(nowMs) - Math.max(...this.regions.values())
    return Math.max(0, Math.min(permits, Math.floor(free / regionShare)))
  }

  private isQuarantined (nowMs: number, fromMs: number): boolean {
    return nowMs < fromMs && this.portion.permits > 0
  }

  private notePeak (nowMs: number): void {
    this.peakInFlight = Math.max(this.findPeak(nowMs), this.inFlight)
    this.peakAtMs = nowMs
    this.lastUsedMs = nowMs
  }

  /** Most requests in flight lately; fades by half in each second. */
  private findPeak (nowMs: number): number {
    const faded = this.peakInFlight * 0.5 ** ((nowMs - this.peakAtMs) / 1_000)
    return Math.max(this.inFlight, faded < 0.5 ? 0 : faded)
  }
}

function addTo (sum: LoanAmount, amount: LoanAmount): void {
  for (const part of ['rate', 'burst', 'short', 'long', 'upload'] as const) sum[part] += amount[part]
}

/** Rounds down to the steps in which rates are divided. */
function roundRate (rate: number): number {
  return Math.floor(rate * 1_000) / 1_000
}
