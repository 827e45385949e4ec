import type { ExampleContract } from '../cluster/ExampleContract.js'

/** An even share of a customer's cap that one host keeps for itself. */
export class StaticCap {
  private tokens: number
  private filledMs = performance.now()
  private inFlight = 0
  private readonly rate: number
  private readonly burst: number
  private readonly concurrency: number

  constructor (contract: ExampleContract, hosts: number) {
    this.rate = contract.rate / hosts
    this.burst = Math.max(1, contract.burst / hosts)
    this.concurrency = Math.max(1, Math.floor(contract.concurrency / hosts))
    this.tokens = this.burst
  }

  admit (): boolean {
    const nowMs = performance.now()
    this.tokens = Math.min(this.burst, this.tokens + (nowMs - this.filledMs) / 1_000 * this.rate)
    this.filledMs = nowMs
    if (this.tokens < 1 || this.inFlight >= this.concurrency) return false
    this.tokens -= 1
    this.inFlight += 1
    return true
  }

  release (): void {
    this.inFlight -= 1
  }
}
