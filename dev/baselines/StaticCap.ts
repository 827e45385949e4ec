import type { ExampleContract } from '../cluster/ExampleContract.js'

/** Enforces one host's even share of a customer's cap: a token bucket for the rate and a limit on concurrency. */
export class StaticCap {
  private tokens: number
  private refilledAtMs = performance.now()
  private inFlight = 0
  private readonly rate: number
  private readonly burst: number
  private readonly concurrency: number

  constructor (contract: ExampleContract, hostCount: number) {
    this.rate = contract.rate / hostCount
    this.burst = Math.max(1, contract.burst / hostCount)
    this.concurrency = Math.max(1, Math.floor(contract.concurrency / hostCount))
    this.tokens = this.burst
  }

  admit (): boolean {
    const nowMs = performance.now()
    this.tokens = Math.min(this.burst, this.tokens + (nowMs - this.refilledAtMs) / 1_000 * this.rate)
    this.refilledAtMs = nowMs
    if (this.tokens < 1 || this.inFlight >= this.concurrency) return false
    this.tokens -= 1
    this.inFlight += 1
    return true
  }

  release (): void {
    this.inFlight -= 1
  }
}
