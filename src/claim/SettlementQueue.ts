import type { z } from 'zod'
import { claimLimits } from './claimLimits.js'
import type { claimMessages } from './claimMessages.js'
import type { ClaimServiceOptions } from './ClaimServiceOptions.js'

type ResultMessage = z.infer<typeof claimMessages.result>

/** A settlement that its home has not acknowledged. */
interface PendingSettlement {
  readonly home: string
  readonly message: ResultMessage
  readonly expiresAtMs: number
  nextAttemptMs: number
}

/** Delivers settlements to the homes of their keys and retries until they are acknowledged or expire. */
export class SettlementQueue {
  private readonly pending = new Map<string, PendingSettlement>()

  constructor (private readonly options: ClaimServiceOptions) {}

  get size (): number {
    return this.pending.size
  }

  /** Queues and sends a settlement; the promise resolves after the first attempt. */
  async add (home: string, message: ResultMessage): Promise<void> {
    const nowMs = this.options.clock.nowMs()
    const settlement = { home, message, expiresAtMs: nowMs + claimLimits.settleExpiryMs, nextAttemptMs: nowMs }
    this.pending.set(message.claimId, settlement)
    if (this.pending.size > claimLimits.maxSettlements) this.dropOldest()
    await this.send(settlement)
  }

  tick (nowMs: number): void {
    for (const settlement of this.pending.values()) {
      if (nowMs >= settlement.expiresAtMs) this.pending.delete(settlement.message.claimId)
      else if (nowMs >= settlement.nextAttemptMs) this.send(settlement)
    }
  }

  private async send (settlement: PendingSettlement): Promise<void> {
    const { clock, messenger } = this.options
    const { home, message } = settlement
    settlement.nextAttemptMs = clock.nowMs() + claimLimits.homeTimeoutMs + claimLimits.settleRetryMs
    const answer = await messenger.request(home, message, claimLimits.homeTimeoutMs)
    const isAcknowledged = answer.isOk() && answer.value.t === 'claim_noted'
    if (isAcknowledged && this.pending.get(message.claimId) === settlement) this.pending.delete(message.claimId)
  }

  private dropOldest (): void {
    const oldest = this.pending.keys().next().value
    if (oldest !== undefined) this.pending.delete(oldest)
  }
}
