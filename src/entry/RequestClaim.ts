import { createHash } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { ClaimHandle } from '../claim/ClaimHandle.js'
import type { Claims } from '../claim/Claims.js'
import type { StoredAnswer } from '../claim/StoredAnswer.js'
import type { Clock } from '../common/Clock.js'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { Outcome } from '../common/Outcome.js'
import { copyResponseHeaders } from './copyResponseHeaders.js'
import type { EntryRequest } from './EntryRequest.js'
import { entryLimits } from './entryLimits.js'
import type { UpstreamResponse } from './UpstreamResponse.js'

/** Holds the claim of one request and settles it exactly once. */
export class RequestClaim {
  private handle: ClaimHandle | undefined
  private storedAnswer: StoredAnswer | undefined
  private validUntilMs = Infinity
  private hasHomeDecision = false

  constructor (private readonly claims: Claims, private readonly clock: Clock, private readonly request: EntryRequest) {}

  /** True if the request may only run under a claim. */
  get isRequired (): boolean {
    return !this.request.idempotent && this.request.key !== undefined
  }

  /** Stored answer of an earlier request with the same key. If it is defined, the request must not be sent. */
  get replay (): StoredAnswer | undefined {
    return this.storedAnswer
  }

  /** Monotonic time in ms after which the claim must not be used. */
  get writeUntilMs (): number {
    return this.validUntilMs
  }

  /**
   * Obtains a claim if one is required and none is usable. A claim that expired before anything was sent is released
   * and requested again.
   */
  async ensure (): Promise<Result<void, Failure>> {
    if (!this.isRequired || this.handle?.isUsable() === true) return ok()
    this.handle?.settleNotRun()
    this.handle = undefined
    const decision = await this.requestClaim()
    // The decision of the home applies to the key, so later failures of this request keep their own outcome.
    this.hasHomeDecision = true
    if (decision.isErr()) return err(decision.error)
    if (decision.value.kind === 'granted') {
      this.handle = decision.value.claim
      return ok()
    }
    this.storedAnswer = decision.value.answer
    return err(createFailure('keyRunning', { outcome: Outcome.unknown }))
  }

  /** Requests the claim; repeats the request if the first one took more than half of the time for which a claim is valid. */
  private async requestClaim (): ReturnType<Claims['claim']> {
    const { customer, key, scope } = this.request
    const request = { customer, key: key!, fingerprint: this.computeFingerprint(), deadlineAtMs: scope.deadlineAtMs }
    const startMs = this.clock.nowMs()
    this.validUntilMs = startMs + entryLimits.claimValidMs
    const decision = await this.claims.claim(request)
    const wasSlow = this.clock.nowMs() - startMs > entryLimits.claimValidMs / 2
    if (!wasSlow || decision.isErr() || decision.value.kind !== 'granted') return decision
    decision.value.claim.settleNotRun()
    this.validUntilMs = this.clock.nowMs() + entryLimits.claimValidMs
    return await this.claims.claim(request)
  }

  isUsable (): boolean {
    return !this.isRequired || this.handle?.isUsable() === true
  }

  /** Settles the claim with the outcome of the failure. Returns the failure with the outcome that holds for the key. */
  settleFailure (failure: Failure): Failure {
    if (failure.outcome === Outcome.notRun) this.settle((handle) => handle.settleNotRun())
    else this.settle((handle) => handle.settleUnknown())
    return this.hasHomeDecision || this.isKeyUnused() ? failure : { ...failure, outcome: Outcome.unknown }
  }

  settleResponse (response: UpstreamResponse): void {
    if (response.stream !== undefined || this.handle === undefined) return
    const headers = groupHeaders(copyResponseHeaders(response.headers))
    this.settle((handle) => handle.settleDone({ status: response.status, headers, body: response.body }))
  }

  /** Settles the claim of a response that was too long to be stored, after its stream has ended. */
  settleStreamed (isComplete: boolean): void {
    this.settle((handle) => isComplete ? handle.settleDone(undefined) : handle.settleUnknown())
  }

  /** Without a claim, only the local state of this host can show that no earlier request with the key has run. */
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
    if (body.stream === undefined) hash.update(body.bytes)
    return hash.digest('hex')
  }
}

function groupHeaders (rawHeaders: readonly string[]): Record<string, string | string[]> {
  const grouped: Record<string, string | string[]> = Object.create(null) as Record<string, string | string[]>
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase()
    const value = rawHeaders[index + 1]!
    const earlier = grouped[name]
    if (earlier === undefined) grouped[name] = value
    else grouped[name] = typeof earlier === 'string' ? [earlier, value] : [...earlier, value]
  }
  return { ...grouped }
}
