import type { Result } from 'neverthrow'
import type { Failure } from '../common/Failure.js'
import type { SteerRequest } from '../steer/SteerRequest.js'
import type { SteerTarget } from '../steer/SteerTarget.js'

/** Rules for the attempts of one request: choice of targets, limits, retries and hedging. */
export interface AttemptPolicy {
  readonly choose: (request: SteerRequest) => Promise<Result<SteerTarget, Failure>>
  readonly allowsRegion: (region: string) => boolean
  /** Counts an attempt in a region; returns false if the region share of the contract does not allow it. */
  readonly enterRegion: (region: string) => boolean
  readonly leaveRegion: (region: string) => void
  /** Runs after a target is reserved and before anything is sent; a failure ends the request. Undefined if no preparation is needed. */
  readonly prepareAttempt: (() => Promise<Result<void, Failure>>) | undefined
  /** Returns whether the request may still be written; called immediately before the write. */
  readonly mayWrite: () => boolean
  /** Returns the monotonic time in ms after which nothing may be written; infinite if no claim is held. */
  readonly writeUntilMs: () => number
  /** Monotonic time in ms until which the request may wait for a slot. */
  readonly waitUntilMs: number
  /** Takes one retry from the budget; returns false if the budget is exhausted. */
  readonly takeRetry: () => boolean
  /** Reserves bytes under the upload cap and returns the ms to wait before they may be sent. */
  readonly reserveUploadBytes: (bytes: number) => number
  /** Endpoints and hosts that must not be used. */
  readonly excluded: ReadonlySet<string>
  readonly maxAttempts: number
  readonly mayHedge: boolean
}
