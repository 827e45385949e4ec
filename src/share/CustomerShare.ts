import type { Contract } from '../model/Contract.js'
import type { BlockingLimit } from './BlockingLimit.js'
import { createAmount } from './createAmount.js'
import { RateEstimator } from './RateEstimator.js'
import { BorrowedLoans } from './BorrowedLoans.js'
import { LentLoans } from './LentLoans.js'
import type { LoanAmount } from './LoanAmount.js'
import type { PermitSource } from './PermitSource.js'
import type { Portion } from './Portion.js'
import { CustomerRetryBudget } from './CustomerRetryBudget.js'
import { shareLimits } from './shareLimits.js'

/** Starting state of a row. */
interface CustomerShareOptions {
  readonly contract: Contract
  /** The host's portion without any limit. */
  readonly portion: Portion
  /** The part of the portion that may be used now. */
  readonly usable: Portion
  /** Time before which the host's own rate is not used or lent. */
  readonly rateQuarantineEndsAtMs: number
  /** Time before which the host's own permits are not used or lent. */
  readonly permitQuarantineEndsAtMs: number
  readonly nowMs: number
}

/** Demand of another host that asked for a loan. */
interface BorrowerDemand {
  demand: LoanAmount
  unmet: LoanAmount
  atMs: number
}

/** One host's share of one customer's cap: its portion, less what it lent, plus what it borrowed. */
export class CustomerShare {
  readonly lent = new LentLoans()
  readonly held = new BorrowedLoans()
  readonly arrivals = new RateEstimator()
  readonly admissions = new RateEstimator()
  readonly uploads = new RateEstimator()
  readonly retries = new CustomerRetryBudget()
  readonly borrowerDemands = new Map<string, BorrowerDemand>()
  contract: Contract
  portion: Portion
  usable: Portion
  /** True while half of the permits may still be lent for uploads by an earlier process of this host. */
  recovering = false
  /** Requests in the queue, and those of them that need a long permit on a loan. */
  queued = 0
  queuedLong = 0
  /** What kept the last request waiting. */
  blocker: BlockingLimit | undefined
  lastUsedAtMs: number
  private rateQuarantineEndsAtMs: number
  private permitQuarantineEndsAtMs: number
  private tokens = 0
  private uploadTokens = 0
  private refilledAtMs: number
  private ownInFlight = 0
  private peakInFlight = 0
  private peakAtMs = 0
  private readonly inFlightByRegion = new Map<string, number>()

  constructor (options: CustomerShareOptions) {
    this.contract = options.contract
    this.portion = options.portion
    this.usable = options.usable
    this.rateQuarantineEndsAtMs = options.rateQuarantineEndsAtMs
    this.permitQuarantineEndsAtMs = options.permitQuarantineEndsAtMs
    this.refilledAtMs = Math.min(options.nowMs, options.rateQuarantineEndsAtMs)
    this.lastUsedAtMs = options.nowMs
    this.advance(options.nowMs)
  }

  /** Brings tokens and loans up to `nowMs`; a borrowed rate counts only until its loan ends. */
  advance (nowMs: number): void {
    for (let end = this.held.findNextExpiry(nowMs); end !== undefined; end = this.held.findNextExpiry(nowMs)) {
      this.refill(end)
      this.held.expire(end)
    }
    this.refill(nowMs)
    this.held.expire(nowMs)
    this.lent.advance(nowMs)
  }

  /** Ends the quarantine early; tokens of the own portion count from now. */
  endQuarantine (nowMs: number): void {
    this.advance(nowMs)
    this.rateQuarantineEndsAtMs = Math.min(this.rateQuarantineEndsAtMs, nowMs)
    this.permitQuarantineEndsAtMs = Math.min(this.permitQuarantineEndsAtMs, nowMs)
  }

  /** Tries to take a token and a permit; tells what is missing otherwise. */
  tryAdmit (nowMs: number, deadlineAtMs: number): PermitSource | BlockingLimit {
    this.advance(nowMs)
    const source = this.findPermitSource(nowMs, deadlineAtMs)
    if (source === undefined) return this.isQuarantined(nowMs, this.permitQuarantineEndsAtMs) ? 'quarantine' : 'permit'
    if (this.tokens < 1) return this.isQuarantined(nowMs, this.rateQuarantineEndsAtMs) ? 'quarantine' : 'rate'
    this.tokens -= 1
    this.admissions.add(nowMs)
    this.retries.recordAdmission(this.contract.rate)
    this.acquirePermit(source)
    this.recordPeak(nowMs)
    return source
  }

  release (source: PermitSource): void {
    if (source.kind === 'own') this.ownInFlight -= 1
    else if (source.kind === 'short') source.loan.usedShort -= 1
    else source.loan.usedLong -= 1
  }

  enterRegion (nowMs: number, region: string): boolean {
    const used = this.inFlightByRegion.get(region) ?? 0
    if (this.contract.regionShare < 1 && used >= this.countRegionPermits(nowMs)) return false
    this.inFlightByRegion.set(region, used + 1)
    return true
  }

  leaveRegion (region: string): void {
    const used = (this.inFlightByRegion.get(region) ?? 0) - 1
    if (used > 0) this.inFlightByRegion.set(region, used)
    else this.inFlightByRegion.delete(region)
  }

  /** Takes upload bytes and returns the ms until they may be sent. */
  reserveUpload (nowMs: number, bytes: number): number {
    this.advance(nowMs)
    this.uploads.add(nowMs, bytes)
    this.lastUsedAtMs = nowMs
    this.uploadTokens -= bytes
    if (this.uploadTokens >= 0) return 0
    return Math.ceil(-this.uploadTokens * 1_000 / Math.max(1, this.computeEffectiveUpload(nowMs)))
  }

  get inFlight (): number {
    return this.held.listAll().reduce((sum, loan) => sum + loan.usedShort + loan.usedLong, this.ownInFlight)
  }

  /** Requests per second that may be admitted now. */
  computeEffectiveRate (nowMs: number): number {
    return this.computeOwn(nowMs).rate + this.held.sumValid(nowMs).rate
  }

  /** Time in ms until one more request at the end of the queue would get a token at `rate` per second. */
  estimateWaitMs (rate: number): number {
    return Math.max(0, this.queued + 1 - this.tokens) * 1_000 / rate
  }

  /** Permits held now, in use or free. */
  countEffectivePermits (nowMs: number): number {
    const own = Math.max(this.ownInFlight, this.countOwnPermits(nowMs))
    return own + this.held.countPermits(nowMs)
  }

  computeEffectiveUpload (nowMs: number): number {
    return this.computeOwn(nowMs).upload + this.held.sumValid(nowMs).upload
  }

  computeEffectiveBurst (nowMs: number): number {
    return this.computeOwn(nowMs).burst + this.held.sumValid(nowMs).burst
  }

  /** What the host could use now for its own requests; the base of what it asks for and of what it keeps. */
  computeDemand (nowMs: number): LoanAmount {
    const demand = this.arrivals.estimatePeak(nowMs) * shareLimits.demandHeadroom + this.queued
    const rate = Math.min(this.contract.rate, demand)
    const atOnce = this.blocker === 'rate' ? Math.min(this.queued, this.computeEffectiveBurst(nowMs)) : this.queued
    const busy = this.computePeak(nowMs) + atOnce
    const short = busy === 0 ? 0 : Math.min(this.contract.concurrency, Math.ceil(busy * shareLimits.demandHeadroom))
    const tick = demand === 0 ? 0 : 1 + rate * shareLimits.burstWindowMs / 1_000
    const burst = Math.min(Math.max(1, this.contract.burst), Math.ceil(Math.max(tick, this.queued)))
    const upload = Math.min(this.contract.uploadBytesPerSecond, this.uploads.estimatePeak(nowMs) * shareLimits.demandHeadroom)
    return { rate, burst: demand === 0 ? 0 : burst, short, long: this.queuedLong, upload }
  }

  /** What the host may use of its own portion. */
  computeOwn (nowMs: number): LoanAmount {
    const { usable, lent: { total } } = this
    const short = this.countOwnPermits(nowMs)
    if (nowMs < this.rateQuarantineEndsAtMs) return createAmount({ short })
    return {
      rate: Math.max(0, usable.rate - total.rate),
      burst: Math.max(0, usable.burst - total.burst),
      short,
      long: short,
      upload: Math.max(0, usable.upload - total.upload)
    }
  }

  /** What is missing for the host's own requests. */
  computeShortfall (nowMs: number): LoanAmount {
    const want = this.computeDemand(nowMs)
    const missingBurst = Math.max(want.burst - this.computeEffectiveBurst(nowMs), this.queued - this.tokens)
    return {
      rate: Math.max(0, want.rate - this.computeEffectiveRate(nowMs)),
      burst: this.queued > 0 || want.rate > this.usable.rate ? Math.max(0, Math.ceil(missingBurst)) : 0,
      short: Math.max(0, want.short - this.queuedLong - this.countEffectivePermits(nowMs)),
      long: Math.max(0, this.queuedLong - Math.max(0, this.countOwnPermits(nowMs) - this.ownInFlight)),
      upload: Math.max(0, want.upload - this.computeEffectiveUpload(nowMs))
    }
  }

  /** What may be lent now without taking what the host needs itself. */
  computeLendable (nowMs: number): LoanAmount {
    this.advance(nowMs)
    const want = this.computeDemand(nowMs)
    const lent = this.lent.total
    const rateReady = nowMs >= this.rateQuarantineEndsAtMs
    const keptRate = want.rate + this.usable.rate * shareLimits.reservedRateFraction
    const permits = Math.max(0, this.countOwnPermits(nowMs) - Math.max(this.ownInFlight, want.short))
    const lendable = this.limitByRegions(nowMs, permits)
    const longLeft = Math.floor(this.usable.permits / 2) - lent.long
    const burstLeft = Math.min(this.tokens, this.usable.burst - lent.burst) - 1 - this.queued
    return {
      rate: rateReady ? roundDownRate(Math.max(0, this.usable.rate - lent.rate - keptRate)) : 0,
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
    return nowMs - this.lastUsedAtMs > shareLimits.idleRowTtlMs && this.queued === 0 && this.lent.size === 0 &&
      this.held.size === 0 && this.inFlight === 0 && this.inFlightByRegion.size === 0 &&
      this.tokens >= this.computeEffectiveBurst(nowMs) && this.uploadTokens >= 0
  }

  /** Demands of other hosts that are not met, as a sum over those that asked lately. */
  sumBorrowerDemands (nowMs: number, except: string): { need: LoanAmount, unmet: LoanAmount } {
    const need = createAmount()
    const unmet = createAmount()
    for (const [host, asker] of this.borrowerDemands) {
      if (nowMs - asker.atMs > shareLimits.renewAfterMs * 2) this.borrowerDemands.delete(host)
      else if (host !== except) {
        addTo(need, asker.demand)
        addTo(unmet, asker.unmet)
      }
    }
    return { need, unmet }
  }

  private refill (nowMs: number): void {
    if (this.refilledAtMs < this.rateQuarantineEndsAtMs && nowMs > this.rateQuarantineEndsAtMs) this.refillFrom(this.rateQuarantineEndsAtMs)
    this.refillFrom(nowMs)
  }

  /** Adds tokens at the rate that holds just before `nowMs`, and drops those over the burst that is held. */
  private refillFrom (nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.refilledAtMs)
    const at = nowMs - elapsedMs / 2
    const upload = this.computeEffectiveUpload(at)
    this.tokens = Math.min(this.computeEffectiveBurst(at), this.tokens + this.computeEffectiveRate(at) * elapsedMs / 1_000)
    this.uploadTokens = Math.min(upload * shareLimits.uploadBurstMs / 1_000, this.uploadTokens + upload * elapsedMs / 1_000)
    this.refilledAtMs = Math.max(this.refilledAtMs, nowMs)
  }

  private findPermitSource (nowMs: number, deadlineAtMs: number): PermitSource | undefined {
    const near = deadlineAtMs - nowMs <= shareLimits.shortRequestMs
    const ownFree = this.ownInFlight < this.countOwnPermits(nowMs)
    if (ownFree && !near) return { kind: 'own' }
    return this.held.findPermit(nowMs, deadlineAtMs) ?? (ownFree ? { kind: 'own' } : undefined)
  }

  private acquirePermit (source: PermitSource): void {
    if (source.kind === 'own') this.ownInFlight += 1
    else if (source.kind === 'short') source.loan.usedShort += 1
    else source.loan.usedLong += 1
  }

  /** Own permits that may be used by own requests: the portion less what is lent or may still be lent. */
  countOwnPermits (nowMs: number): number {
    if (nowMs < this.permitQuarantineEndsAtMs) return 0
    const { short, long } = this.lent.total
    const lentLong = this.recovering ? Math.max(long, Math.floor(this.portion.permits / 2)) : long
    return Math.max(0, this.usable.permits - short - lentLong)
  }

  private countRegionPermits (nowMs: number): number {
    const { regionShare } = this.contract
    const own = nowMs < this.permitQuarantineEndsAtMs ? 0 : Math.max(0, this.usable.regionPermits - this.lent.sumRegionPermits(regionShare))
    const kept = this.recovering ? Math.floor(Math.floor(this.portion.permits / 2) * regionShare) : 0
    return Math.max(0, own - kept) + this.held.countRegionPermits(nowMs, regionShare)
  }

  /** Lowers a number of permits so that giving them away keeps every region's requests within the region share. */
  limitByRegions (nowMs: number, permits: number): number {
    const { regionShare } = this.contract
    if (regionShare >= 1 || this.inFlightByRegion.size === 0) return permits
    const free = this.countRegionPermits(nowMs) - Math.max(...this.inFlightByRegion.values())
    return Math.max(0, Math.min(permits, Math.floor(free / regionShare)))
  }

  private isQuarantined (nowMs: number, fromMs: number): boolean {
    return nowMs < fromMs && this.portion.permits > 0
  }

  private recordPeak (nowMs: number): void {
    this.peakInFlight = Math.max(this.computePeak(nowMs), this.inFlight)
    this.peakAtMs = nowMs
    this.lastUsedAtMs = nowMs
  }

  /** Most requests in flight lately; fades by half in each second. */
  private computePeak (nowMs: number): number {
    const faded = this.peakInFlight * 0.5 ** ((nowMs - this.peakAtMs) / 1_000)
    return Math.max(this.inFlight, faded < 0.5 ? 0 : faded)
  }
}

function addTo (sum: LoanAmount, amount: LoanAmount): void {
  for (const part of ['rate', 'burst', 'short', 'long', 'upload'] as const) sum[part] += amount[part]
}

/** Rounds down to the steps in which rates are divided. */
function roundDownRate (rate: number): number {
  return Math.floor(rate * 1_000) / 1_000
}
