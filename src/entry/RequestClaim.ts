import { createHash } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { ClaimHandle } from '../claim/ClaimHandle.js'
import type { Claims } from '../claim/Claims.js'
import type { KeptAnswer } from '../claim/KeptAnswer.js'
import type { Clock } from '../common/Clock.js'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { Outcome } from '../common/Outcome.js'
import { copyResponseHeaders } from './copyResponseHeaders.js'
import type { EntryRequest } from './EntryRequest.js'
import { entryLimits } from './entryLimits.js'
import type { UpstreamAnswer } from './UpstreamAnswer.js'

/** Holds the claim of one request; settles it exactly once. */
export class RequestClaim {
  private handle: ClaimHandle | undefined
  private storedAnswer: KeptAnswer | undefined
  private validUntilMs = Infinity
  private hasHomeDecision = false

  constructor (private readonly claims: Claims, private readonly clock: Clock, private readonly request: EntryRequest) {}

  /** True when the request may only run under a claim. */
  get isRequired (): boolean {
    return !this.request.idempotent && this.request.key !== undefined
  }

  /** Answer of an earlier request with the same key; then nothing may be sent. */
  get replay (): KeptAnswer | undefined {
    return this.storedAnswer
  }

  /** Monotonic time in ms after which the claim may not be used. */
  get writeUntilMs (): number {
    return this.validUntilMs
  }

  /**
   * Obtains a claim when one is needed and none is usable. A claim that ran out before anything was sent is given back
   * and asked for again.
   */
  async ensure (): Promise<Result<void, Failure>> {
    if (!this.isRequired || this.handle?.isUsable() === true) return ok()
    this.handle?.settleNotRun()
    this.handle = undefined
    const decision = await this.requestClaim()
    // What the home says holds for the key, whatever happens to this request.
    this.hasHomeDecision = true
    if (decision.isErr()) return err(decision.error)
    if (decision.value.kind === 'granted') {
      this.handle = decision.value.claim
      return ok()
    }
    this.storedAnswer = decision.value.answer
    return err(createFailure('keyRunning', { outcome: Outcome.unknown }))
  }

  /** Asks for the claim; once more when a running request was waited for, since most of the valid time may be over. */
  private async requestClaim (): ReturnType<Claims['claim']> {
    const { customer, key, scope } = this.request
    const request = { customer, key: key!, fingerprint: this.computeFingerprint(), deadlineAtMs: scope.deadlineAtMs }
    const startMs = this.clock.nowMs()
    this.validUntilMs = startMs + entryLimits.claimValidMs
    const decision = await this.claims.claim(request)
    const isLate = this.clock.nowMs() - startMs > entryLimits.claimValidMs / 2
    if (!isLate || decision.isErr() || decision.value.kind !== 'granted') return decision
    decision.value.claim.settleNotRun()
    this.validUntilMs = this.clock.nowMs() + entryLimits.claimValidMs
    return await this.claims.claim(request)
  }

  isUsable (): boolean {
    return !this.isRequired || this.handle?.isUsable() === true
  }

  /** Settles with the failure's outcome, and returns the failure as it applies to the key. */
  settleFailure (failure: Failure): Failure {
    if (failure.outcome === Outcome.notRun) this.settle((handle) => handle.settleNotRun())
    else this.settle((handle) => handle.settleUnknown())
    return this.hasHomeDecision || this.isKeyUnused() ? failure : { ...failure, outcome: Outcome.unknown }
  }

  settleResponse (answer: UpstreamAnswer): void {
    if (answer.rest !== undefined || this.handle === undefined) return
    const headers = groupHeaders(copyResponseHeaders(answer.headers))
    this.settle((handle) => handle.settleDone({ status: answer.status, headers, body: answer.body }))
  }

  /** Settles an answer that was too long to be kept, once it is known whether all of it came. */
  settleStreamed (isComplete: boolean): void {
    this.settle((handle) => isComplete ? handle.settleDone(undefined) : handle.settleUnknown())
  }

  /** Without a claim, only this host's own memory can tell that no earlier request with the key has run. */
  private isKeyUnused (): boolean {
    const { customer, key } = this.request
    return key === undefined || this.claims.isCertainlyNotRun(customer, key)
  }

  private settle (apply: (handle: ClaimHandle) => void): void {
    const { handle } = this
    this.handle = undefined
    if (handle !== undefined) apply(handle)
  }

  private computeFingerprint (): string {
    const { customer, method, path, body } = this.request
    const hash = createHash('sha256').update(JSON.stringify([customer, method, path, body.length ?? -1]))
    if (body.rest === undefined) hash.update(body.bytes)
    return hash.digest('hex')
  }
}

function groupHeaders (flat: readonly string[]): Record<string, string | string[]> {
  const grouped: Record<string, string | string[]> = Object.create(null) as Record<string, string | string[]>
  for (let index = 0; index < flat.length; index += 2) {
    const name = flat[index]!.toLowerCase()
    const value = flat[index + 1]!
    const earlier = grouped[name]
    if (earlier === undefined) grouped[name] = value
    else grouped[name] = typeof earlier === 'string' ? [earlier, value] : [...earlier, value]
  }
  return { ...grouped }
}
