import type { StoredAnswer } from './StoredAnswer.js'

/** A granted claim: the right to run one request once. One of the `settle` methods must be called, exactly once. */
export abstract class ClaimHandle {
  /** Returns true while the claim may be used; to be checked immediately before the request is written to the upstream. */
  abstract isUsable (): boolean

  /** Records that the request was certainly not run; the key may be claimed again. */
  abstract settleNotRun (): void

  /** Records that the request may have run; the key is not granted again. */
  abstract settleUnknown (): void

  /** Records that the request ran. Without an answer, for example one that is too large to store, the key stays claimed but is not replayed. */
  abstract settleDone (answer: StoredAnswer | undefined): void
}
