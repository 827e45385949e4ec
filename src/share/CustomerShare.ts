import type { Contract } from '../model/Contract.js'
import type { BlockingLimit } from './BlockingLimit.js'
import { BorrowedLoans } from './BorrowedLoans.js'
import { createAmount } from './createAmount.js'
import { CustomerRetryBudget } from './CustomerRetryBudget.js'
import { LentLoans } from './LentLoans.js'
import type { LoanAmount } from './LoanAmount.js'
import type { PermitSource } from './PermitSource.js'
import type { Portion } from './Portion.js'
import { RateEstimator } from './RateEstimator.js'
import { shareLimits } from './shareLimits.js'

/** Initial state of a customer's share. */
interface CustomerShareOptions {
  readonly contract: Contract
  /** The host's portion as the current configuration divides the cap. */
  readonly portion: Portion
  /** The part of the portion that may be used while other hosts may still run an older configuration. */
  readonly usable: Portion
  /** Time before which the host's own rate is neither used nor lent. */
  readonly rateQuarantineEndsAtMs: number
  /** Time before which the host's own permits are neither used nor lent. */
  readonly permitQuarantineEndsAtMs: number
  readonly nowMs: number
}

/** The last reported demand of a host that requested a loan. */
interface BorrowerDemand {
  demand: LoanAmount
  unmet: LoanAmount
  atMs: number
}

/** Tracks one host's share of one customer's cap: its portion, less the lent amounts, plus the borrowed amounts. */
export class CustomerShare {
  readonly lent = new LentLoans()
  readonly borrowed = new BorrowedLoans()
  readonly arrivals = new RateEstimator()
  readonly admissions = new RateEstimator()
  readonly uploads = new RateEstimator()
  readonly retries = new CustomerRetryBudget()
  readonly borrowerDemands = new Map<string, BorrowerDemand>()
  contract: Contract
  portion: Portion
  usable: Portion
  /** True while up to half of the permits may still be lent for uploads by an earlier process of this host. */
  recovering = false
  /** Number of requests in the queue, and of those that need a long permit when it is borrowed. */
  queued = 0
  queuedLong = 0
  /** The limit that last prevented an admission. */
  blockingLimit: BlockingLimit | undefined
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

  /** Brings tokens and loans up to `nowMs`. A borrowed rate adds tokens only until its loan expires. */
  advance (nowMs: number): void {
    for (let expiryMs = this.borrowed.findNextExpiry(nowMs); expiryMs !== undefined; expiryMs = this.borrowed.findNextExpiry(nowMs)) {
      this.refill(expiryMs)
      this.borrowed.expire(expiryMs)
    }
    this.refill(nowMs)
    this.borrowed.expire(nowMs)
    this.lent.advance(nowMs)
  }

  /** Ends the quarantine early. The host's own portion adds tokens from `nowMs` on. */
  endQuarantine (nowMs: number): void {
    this.advance(nowMs)
    this.rateQuarantineEndsAtMs = Math.min(this.rateQuarantineEndsAtMs, nowMs)
    this.permitQuarantineEndsAtMs = Math.min(this.permitQuarantineEndsAtMs, nowMs)
  }

  /** Takes a token and a permit and returns the permit's source, or returns the limit that prevents the admission. */
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

  /** Reserves upload bytes and returns the time in ms until they may be sent. */
  reserveUpload (nowMs: number, bytes: number): number {
    this.advance(nowMs)
    this.uploads.add(nowMs, bytes)
    this.lastUsedAtMs = nowMs
    this.uploadTokens -= bytes
    if (this.uploadTokens >= 0) return 0
    return Math.ceil(-this.uploadTokens * 1_000 / Math.max(1, this.computeEffectiveUpload(nowMs)))
  }

  get inFlight (): number {
    return this.borrowed.listAll().reduce((sum, loan) => sum + loan.usedShort + loan.usedLong, this.ownInFlight)
  }

  /** Computes the requests per second that may be admitted now, from the own portion and from loans. */
  computeEffectiveRate (nowMs: number): number {
    return this.computeOwnAmount(nowMs).rate + this.borrowed.sumValid(nowMs).rate
  }

  /** Estimates the time in ms until one more request at the end of the queue would get a token, at `rate` tokens per second. */
  estimateWaitMs (rate: number): number {
    return Math.max(0, this.queued + 1 - this.tokens) * 1_000 / rate
  }

  /** Counts the own and borrowed permits, in use or free. */
  countEffectivePermits (nowMs: number): number {
    const own = Math.max(this.ownInFlight, this.countOwnPermits(nowMs))
    return own + this.borrowed.countPermits(nowMs)
  }

  computeEffectiveUpload (nowMs: number): number {
    return this.computeOwnAmount(nowMs).upload + this.borrowed.sumValid(nowMs).upload
  }

  computeEffectiveBurst (nowMs: number): number {
    return this.computeOwnAmount(nowMs).burst + this.borrowed.sumValid(nowMs).burst
  }

  /** Estimates how much the host could use for its own requests. Loan requests and lendable amounts are derived from this estimate. */
  computeDemand (nowMs: number): LoanAmount {
    const demandedRate = this.arrivals.estimatePeak(nowMs) * shareLimits.demandHeadroom + this.queued
    const rate = Math.min(this.contract.rate, demandedRate)
    const queuedConcurrency = this.blockingLimit === 'rate' ? Math.min(this.queued, this.computeEffectiveBurst(nowMs)) : this.queued
    const concurrency = this.computePeak(nowMs) + queuedConcurrency
    const short = concurrency === 0 ? 0 : Math.min(this.contract.concurrency, Math.ceil(concurrency * shareLimits.demandHeadroom))
    const tickBurst = demandedRate === 0 ? 0 : 1 + rate * shareLimits.burstWindowMs / 1_000
    const burst = Math.min(Math.max(1, this.contract.burst), Math.ceil(Math.max(tickBurst, this.queued)))
    const upload = Math.min(this.contract.uploadBytesPerSecond, this.uploads.estimatePeak(nowMs) * shareLimits.demandHeadroom)
    return { rate, burst: demandedRate === 0 ? 0 : burst, short, long: this.queuedLong, upload }
  }

  /** Computes how much of its own portion the host may use. */
  computeOwnAmount (nowMs: number): LoanAmount {
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

  /** Computes how much of the demand exceeds the own and borrowed amounts. */
  computeShortfall (nowMs: number): LoanAmount {
    const demand = this.computeDemand(nowMs)
    const missingBurst = Math.max(demand.burst - this.computeEffectiveBurst(nowMs), this.queued - this.tokens)
    return {
      rate: Math.max(0, demand.rate - this.computeEffectiveRate(nowMs)),
      burst: this.queued > 0 || demand.rate > this.usable.rate ? Math.max(0, Math.ceil(missingBurst)) : 0,
      short: Math.max(0, demand.short - this.queuedLong - this.countEffectivePermits(nowMs)),
      long: Math.max(0, this.queuedLong - Math.max(0, this.countOwnPermits(nowMs) - this.ownInFlight)),
      upload: Math.max(0, demand.upload - this.computeEffectiveUpload(nowMs))
    }
  }

  /** Computes how much may be lent now without cutting into the host's own demand. */
  computeLendable (nowMs: number): LoanAmount {
    this.advance(nowMs)
    const demand = this.computeDemand(nowMs)
    const lent = this.lent.total
    const isRateAvailable = nowMs >= this.rateQuarantineEndsAtMs
    const reservedRate = demand.rate + this.usable.rate * shareLimits.reservedRateFraction
    const permits = Math.max(0, this.countOwnPermits(nowMs) - Math.max(this.ownInFlight, demand.short))
    const lendable = this.limitByRegions(nowMs, permits)
    const longLeft = Math.floor(this.usable.permits / 2) - lent.long
    const burstLeft = Math.min(this.tokens, this.usable.burst - lent.burst) - 1 - this.queued
    return {
      rate: isRateAvailable ? roundDownRate(Math.max(0, this.usable.rate - lent.rate - reservedRate)) : 0,
      burst: isRateAvailable ? Math.max(0, Math.floor(burstLeft)) : 0,
      short: lendable,
      long: this.recovering ? 0 : Math.max(0, Math.min(lendable, longLeft)),
      upload: isRateAvailable ? Math.floor(Math.max(0, this.usable.upload - lent.upload - demand.upload)) : 0
    }
  }

  /** Lends `amount`, which must not exceed the result of `computeLendable`. */
  lend (borrower: string, incarnation: number, seq: number, amount: LoanAmount, nowMs: number): void {
    this.lent.grant(borrower, incarnation, seq, amount, nowMs)
    this.tokens -= amount.burst
  }

  /** Adds a loan that a lender granted, with as many tokens as its burst. */
  borrow (lender: string, seq: number, amount: LoanAmount, sentAtMs: number, nowMs: number): void {
    this.advance(nowMs)
    this.borrowed.add(lender, seq, amount, sentAtMs)
    this.tokens += amount.burst
    this.advance(nowMs)
  }

  /** True while the host uses or has lent more than its present portion. */
  isOverPortion (): boolean {
    const { total } = this.lent
    return total.rate > this.usable.rate + 1e-9 || total.upload > this.usable.upload ||
      total.burst > this.usable.burst || total.short + total.long + this.ownInFlight > this.usable.permits
  }

  /** True when the share is idle and a newly created one would behave the same. */
  isIdle (nowMs: number): boolean {
    return nowMs - this.lastUsedAtMs > shareLimits.idleRowTtlMs && this.queued === 0 && this.lent.size === 0 &&
      this.borrowed.size === 0 && this.inFlight === 0 && this.inFlightByRegion.size === 0 &&
      this.tokens >= this.computeEffectiveBurst(nowMs) && this.uploadTokens >= 0
  }

  /** Sums the demands of hosts that requested a loan lately, and the unmet amounts of these requests, without `excludedBorrower`. */
  sumBorrowerDemands (nowMs: number, excludedBorrower: string): { demand: LoanAmount, unmet: LoanAmount } {
    const demand = createAmount()
    const unmet = createAmount()
    for (const [host, borrower] of this.borrowerDemands) {
      if (nowMs - borrower.atMs > shareLimits.renewAfterMs * 2) this.borrowerDemands.delete(host)
      else if (host !== excludedBorrower) {
        addTo(demand, borrower.demand)
        addTo(unmet, borrower.unmet)
      }
    }
    return { demand, unmet }
  }

  private refill (nowMs: number): void {
    if (this.refilledAtMs < this.rateQuarantineEndsAtMs && nowMs > this.rateQuarantineEndsAtMs) this.refillUntil(this.rateQuarantineEndsAtMs)
    this.refillUntil(nowMs)
  }

  /** Adds tokens for the time since the last refill at the rate in force before `nowMs`, and drops those above the burst. */
  private refillUntil (nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.refilledAtMs)
    const midpointMs = nowMs - elapsedMs / 2
    const upload = this.computeEffectiveUpload(midpointMs)
    this.tokens = Math.min(this.computeEffectiveBurst(midpointMs), this.tokens + this.computeEffectiveRate(midpointMs) * elapsedMs / 1_000)
    this.uploadTokens = Math.min(upload * shareLimits.uploadBurstMs / 1_000, this.uploadTokens + upload * elapsedMs / 1_000)
    this.refilledAtMs = Math.max(this.refilledAtMs, nowMs)
  }

  private findPermitSource (nowMs: number, deadlineAtMs: number): PermitSource | undefined {
    const isShort = deadlineAtMs - nowMs <= shareLimits.shortRequestMs
    const ownFree = this.ownInFlight < this.countOwnPermits(nowMs)
    if (ownFree && !isShort) return { kind: 'own' }
    return this.borrowed.findPermit(nowMs, deadlineAtMs) ?? (ownFree ? { kind: 'own' } : undefined)
  }

  private acquirePermit (source: PermitSource): void {
    if (source.kind === 'own') this.ownInFlight += 1
    else if (source.kind === 'short') source.loan.usedShort += 1
    else source.loan.usedLong += 1
  }

  /** Counts the own permits for own requests: the portion less what is lent, or may be lent by an earlier process. */
  countOwnPermits (nowMs: number): number {
    if (nowMs < this.permitQuarantineEndsAtMs) return 0
    const { short, long } = this.lent.total
    const reservedLong = this.recovering ? Math.max(long, Math.floor(this.portion.permits / 2)) : long
    return Math.max(0, this.usable.permits - short - reservedLong)
  }

  private countRegionPermits (nowMs: number): number {
    const { regionShare } = this.contract
    const own = nowMs < this.permitQuarantineEndsAtMs ? 0 : Math.max(0, this.usable.regionPermits - this.lent.sumRegionPermits(regionShare))
    const reserved = this.recovering ? Math.floor(Math.floor(this.portion.permits / 2) * regionShare) : 0
    return Math.max(0, own - reserved) + this.borrowed.countRegionPermits(nowMs, regionShare)
  }

  /** Limits the number of permits to lend or return, so that the requests in flight in every region stay within the region share. */
  limitByRegions (nowMs: number, permits: number): number {
    const { regionShare } = this.contract
    if (regionShare >= 1 || this.inFlightByRegion.size === 0) return permits
    const free = this.countRegionPermits(nowMs) - Math.max(...this.inFlightByRegion.values())
    return Math.max(0, Math.min(permits, Math.floor(free / regionShare)))
  }

  private isQuarantined (nowMs: number, endsAtMs: number): boolean {
    return nowMs < endsAtMs && this.portion.permits > 0
  }

  private recordPeak (nowMs: number): void {
    this.peakInFlight = Math.max(this.computePeak(nowMs), this.inFlight)
    this.peakAtMs = nowMs
    this.lastUsedAtMs = nowMs
  }

  /** Computes the recent peak of requests in flight, which decays by half per second. */
  private computePeak (nowMs: number): number {
    const decayed = this.peakInFlight * 0.5 ** ((nowMs - this.peakAtMs) / 1_000)
    return Math.max(this.inFlight, decayed < 0.5 ? 0 : decayed)
  }
}

function addTo (sum: LoanAmount, amount: LoanAmount): void {
  for (const resource of ['rate', 'burst', 'short', 'long', 'upload'] as const) sum[resource] += amount[resource]
}

/** Rounds a rate down to a multiple of 0.001, the step in which caps are divided. */
function roundDownRate (rate: number): number {
  return Math.floor(rate * 1_000) / 1_000
}
