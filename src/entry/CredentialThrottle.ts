import type { Clock } from '../common/Clock.js'

const maxAddresses = 4_096
const windowMs = 10_000
const maxWrong = 20

/** Wrong credentials of one address in the current window. */
interface AddressRow {
  count: number
  startMs: number
}

/** Counts wrong credentials per address; holds at most 4096 addresses and forgets the oldest first. */
export class CredentialThrottle {
  private readonly rows = new Map<string, AddressRow>()

  constructor (private readonly clock: Clock) {}

  get size (): number {
    return this.rows.size
  }

  /** Time in ms until the address may try again; 0 when it may now. */
  waitMs (address: string): number {
    if (this.rows.size === 0) return 0
    const row = this.rows.get(address)
    if (row === undefined || row.count < maxWrong) return 0
    return Math.max(0, row.startMs + windowMs - this.clock.nowMs())
  }

  countWrong (address: string): void {
    const nowMs = this.clock.nowMs()
    const row = this.rows.get(address)
    if (row !== undefined && nowMs - row.startMs < windowMs) {
      row.count += 1
      return
    }
    this.rows.delete(address)
    if (this.rows.size >= maxAddresses) this.rows.delete(this.rows.keys().next().value!)
    this.rows.set(address, { count: 1, startMs: nowMs })
  }
}
