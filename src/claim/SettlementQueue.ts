import type { z } from 'zod'
import { claimLimits } from './claimLimits.js'
import type { claimMessages } from './claimMessages.js'
import type { ClaimServiceOptions } from './ClaimServiceOptions.js'

type ResultMessage = z.infer<typeof claimMessages.result>

/** A settlement that its home has not confirmed. */
interface PendingSettlement {
  readonly home: string
  readonly message: ResultMessage
  readonly giveUpMs: number
  nextMs: number
}

/** Delivers settlements to the homes of their keys, again and again until they are confirmed. */
export class SettlementQueue {
  private readonly pending = new Map<string, PendingSettlement>()

  constructor (private readonly options: ClaimServiceOptions) {}

  get size (): number {
    return this.pending.size
  }

  /** Sends a settlement; the promise ends with the first attempt. */
  async add (home: string, message: ResultMessage): Promise<void> {
    const nowMs = this.options.clock.nowMs()
    const settlement = { home, message, giveUpMs: nowMs + claimLimits.settleGiveUpMs, nextMs: nowMs }
    this.pending.set(message.claimId, settlement)
    if (this.pending.size > claimLimits.maxSettlements) this.dropOldest()
    await this.send(settlement)
  }

  tick (nowMs: number): void {
    for (const settlement of this.pending.values()) {
      if (nowMs >= settlement.giveUpMs) this.pending.delete(settlement.message.claimId)
      else if (nowMs >= settlement.nextMs) this.send(settlement)
    }
  }

  private async send (settlement: PendingSettlement): Promise<void> {
    const { clock, messenger } = this.options
    const { home, message } = settlement
    settlement.nextMs = clock.nowMs() + claimLimits.homeTimeoutMs + claimLimits.settleRetryMs
    const answer = await messenger.request(home, message, claimLimits.homeTimeoutMs)
    const isNoted = answer.isOk() && answer.value.t === 'claim_noted'
    if (isNoted && this.pending.get(message.claimId) === settlement) this.pending.delete(message.claimId)
  }

  private dropOldest (): void {
    const oldest = this.pending.keys().next().value
    if (oldest !== undefined) this.pending.delete(oldest)
  }
}
