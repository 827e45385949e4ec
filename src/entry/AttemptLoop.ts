import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { impliesNotRun } from '../common/impliesNotRun.js'
import { Outcome } from '../common/Outcome.js'
import { resultCodes } from '../common/resultCodes.js'
import { sleep } from '../common/sleep.js'
import { AttemptResult } from '../steer/AttemptResult.js'
import type { SteerTarget } from '../steer/SteerTarget.js'
import { Attempt } from './Attempt.js'
import type { AttemptContext } from './AttemptContext.js'
import type { AttemptFailure } from './AttemptFailure.js'
import type { AttemptPolicy } from './AttemptPolicy.js'
import type { EntryRequest } from './EntryRequest.js'
import { HedgedAttempt } from './HedgedAttempt.js'
import type { OpenResponse } from './OpenResponse.js'

/** Bytes that the headers of a forwarded request are assumed to take on a link. */
const forwardHeaderBytes = 512
/** Interval in ms between attempts to enter a region that is at its share cap. */
const regionRetryIntervalMs = 5

/** Chooses targets and makes attempts until a request is answered or must not be retried. */
export class AttemptLoop {
  private readonly excluded: Set<string>
  private attempts = 0
  private mayHaveRun = false

  constructor (
    private readonly context: AttemptContext,
    private readonly request: EntryRequest,
    private readonly policy: AttemptPolicy
  ) {
    this.excluded = new Set(policy.excluded)
  }

  /** Runs the attempts; the outcome of a failure is `notRun` only if no attempt can have run the request. */
  async run (): Promise<Result<OpenResponse, Failure>> {
    let lastFailure: AttemptFailure | undefined
    for (;;) {
      const target = await this.chooseTarget(this.policy.waitUntilMs)
      if (target.isErr()) return this.fail(lastFailure?.failure ?? target.error)
      const reply = await this.runAttempt(target.value)
      if (reply.isOk()) return ok(reply.value)
      lastFailure = reply.error
      this.mayHaveRun ||= lastFailure.failure.outcome === Outcome.unknown
      if (!this.isRetryable(lastFailure)) return this.fail(lastFailure.failure)
      if (!this.policy.takeRetry()) return this.fail(this.createBudgetFailure(lastFailure.failure))
      this.exclude(target.value, lastFailure)
      this.context.metrics.retried(lastFailure.failure.name, this.request.service, this.request.customer)
    }
  }

  /** Chooses a target and enters its region; retries if another request took the last place in the region after the choice. */
  private async chooseTarget (waitUntilMs: number): Promise<Result<SteerTarget, Failure>> {
    for (;;) {
      const target = await this.choose(waitUntilMs)
      if (target.isErr()) return target
      const isCancelled = this.request.scope.reason !== undefined
      if (!isCancelled && this.policy.enterRegion(target.value.region)) return target
      target.value.release(AttemptResult.cancelled, 0)
      if (isCancelled) return err(createFailure('deadlineExceeded'))
      if (this.context.clock.nowMs() + regionRetryIntervalMs >= waitUntilMs) return err(createFailure('regionShareCap'))
      await sleep(regionRetryIntervalMs)
    }
  }

  private async choose (waitUntilMs: number): Promise<Result<SteerTarget, Failure>> {
    const { customer, service, workClass, priority, moveStep, scope } = this.request
    return await this.policy.choose({
      customer,
      service,
      workClass,
      priority,
      moveStep,
      waitUntilMs,
      excluded: this.excluded,
      allowsRegion: this.policy.allowsRegion,
      get signal () { return scope.signal }
    })
  }

  private async runAttempt (target: SteerTarget): Promise<Result<OpenResponse, AttemptFailure>> {
    const failure = this.policy.prepareAttempt === undefined && target.kind === 'endpoint' ? undefined : await this.prepare(target)
    if (failure !== undefined) {
      this.releaseTarget(target)
      return err({ failure, result: AttemptResult.cancelled })
    }
    this.attempts += 1
    const firstAttempt = this.startAttempt(target)
    const hedgeDelayMs = this.context.latencies.hedgeDelayMs(this.request.service)
    const mayHedge = this.policy.mayHedge && this.request.body.stream === undefined && hedgeDelayMs < this.request.scope.leftMs
    if (!mayHedge) return await firstAttempt.response
    return await new HedgedAttempt(hedgeDelayMs, async () => await this.startHedge(target)).run(firstAttempt)
  }

  /** Waits for link bandwidth and runs the preparation of the policy; returns a failure if nothing may be sent. */
  private async prepare (target: SteerTarget): Promise<Failure | undefined> {
    const refusal = target.kind === 'host' ? await this.waitForLinkBudget(target.region) : undefined
    if (refusal !== undefined) return refusal
    const prepared = await this.policy.prepareAttempt?.()
    if (prepared?.isErr() === true) return prepared.error
    return this.request.scope.reason === undefined ? undefined : createFailure('deadlineExceeded')
  }

  /** Waits until the link budget allows the headers and the buffered part of the body. */
  private async waitForLinkBudget (region: string): Promise<Failure | undefined> {
    const bytes = this.request.body.bytes.length + forwardHeaderBytes
    const waitMs = this.context.steering.reserveLinkBytes(region, this.request.workClass, bytes)
    if (waitMs <= 0) return undefined
    if (waitMs >= this.request.scope.leftMs) return createFailure('linkBudget', { retryAfterMs: waitMs })
    await sleep(waitMs)
    return undefined
  }

  private startAttempt (target: SteerTarget): Attempt {
    return new Attempt(this.context, this.request, target, this.policy, this.excluded)
  }

  private async startHedge (first: SteerTarget): Promise<Attempt | undefined> {
    const { service, customer } = this.request
    this.excluded.add(getTargetName(first))
    const target = await this.chooseTarget(this.context.clock.nowMs())
    if (target.isErr()) return undefined
    if (!this.policy.takeRetry()) {
      this.releaseTarget(target.value)
      return undefined
    }
    this.context.metrics.hedged(service, customer)
    return this.startAttempt(target.value)
  }

  private releaseTarget (target: SteerTarget): void {
    target.release(AttemptResult.cancelled, 0)
    this.policy.leaveRegion(target.region)
  }

  private isRetryable (failed: AttemptFailure): boolean {
    const { body, scope, idempotent } = this.request
    if (failed.result === AttemptResult.cancelled && failed.endpoint === undefined) return false
    if (scope.reason !== undefined || scope.leftMs <= 0) return false
    if (this.attempts >= this.policy.maxAttempts || !body.isReplayable) return false
    return idempotent || failed.failure.outcome === Outcome.notRun
  }

  // If the owner reported which endpoint failed, its other endpoints may still be used.
  private exclude (target: SteerTarget, failed: AttemptFailure): void {
    if (failed.endpoint !== undefined && !this.excluded.has(failed.endpoint)) this.excluded.add(failed.endpoint)
    else this.excluded.add(getTargetName(target))
  }

  private createBudgetFailure (failure: Failure): Failure {
    return createFailure('retryBudget', {
      outcome: failure.outcome,
      message: `The retry budget of the customer is exhausted; the last attempt failed with ${failure.name}.`,
      retryAfterMs: 1_000
    })
  }

  /** A non-idempotent request that may have run gets no status by which its caller would take it as not run. */
  private fail (failure: Failure): Result<never, Failure> {
    if (!this.mayHaveRun) return err(failure)
    const isAmbiguous = !this.request.idempotent && impliesNotRun(resultCodes[failure.name].status)
    return err({ ...failure, name: isAmbiguous ? 'upstreamReset' : failure.name, outcome: Outcome.unknown })
  }
}

function getTargetName (target: SteerTarget): string {
  return target.kind === 'endpoint' ? target.endpoint.name : target.host.name
}
