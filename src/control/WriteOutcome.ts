import type { WriteReceipt } from './WriteReceipt.js'

/** Outcome of a write: `accepted`, `not-run` when it certainly had no effect, or `unknown`. */
export type WriteOutcome =
  | { readonly outcome: 'accepted', readonly receipt: WriteReceipt }
  | { readonly outcome: 'not-run' }
  | { readonly outcome: 'unknown' }
