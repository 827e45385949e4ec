import type { WriteReceipt } from './WriteReceipt.js'

/** What is known of a write: `accepted`, certainly `not-run`, or `unknown`. */
export type WriteOutcome =
  | { readonly outcome: 'accepted', readonly receipt: WriteReceipt }
  | { readonly outcome: 'not-run' }
  | { readonly outcome: 'unknown' }
