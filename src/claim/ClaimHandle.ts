import type { KeptAnswer } from './KeptAnswer.js'

/** The right to run one request once. Exactly one of the `settle` methods must be called. */
export abstract class ClaimHandle {
  /** True while the claim may still be used; check at the moment of the upstream write. */
  abstract isUsable (): boolean

  /** The request was certainly not run; the key may be claimed again. */
  abstract settleNotRun (): void

  /** The request may have run; the key is never run again. */
  abstract settleUnknown (): void

  /** The request ran. Without an answer (too large to keep) the key is not replayed, but stays claimed. */
  abstract settleDone (answer: KeptAnswer | undefined): void
}
