import type { Result } from 'neverthrow'
import type { Failure } from '../common/Failure.js'
import type { SteerRequest } from '../steer/SteerRequest.js'
import type { SteerTarget } from '../steer/SteerTarget.js'

/** What may be done to get a request answered. */
export interface AttemptPolicy {
  readonly choose: (request: SteerRequest) => Promise<Result<SteerTarget, Failure>>
  readonly allowsRegion: (region: string) => boolean
  /** Counts an attempt in a region; false when the contract does not allow it. */
  readonly enterRegion: (region: string) => boolean
  readonly leaveRegion: (region: string) => void
  /** Called once a target is reserved and before anything is sent; a failure ends the request. Undefined when there is nothing to do. */
  readonly prepareAttempt: (() => Promise<Result<void, Failure>>) | undefined
  /** Asked at the moment of the write. */
  readonly mayWrite: () => boolean
  /** Monotonic time in ms after which nothing may be written; infinite when no claim is held. */
  readonly writeUntilMs: () => number
  /** Monotonic time in ms until which the request may wait for a slot. */
  readonly waitUntilMs: number
  readonly takeRetry: () => boolean
  readonly reserveUploadBytes: (bytes: number) => number
  /** Endpoints and hosts that must not be used. */
  readonly excluded: ReadonlySet<string>
  readonly maxAttempts: number
  readonly mayHedge: boolean
}
