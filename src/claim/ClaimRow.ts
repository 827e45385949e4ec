import type { KeptAnswer } from './KeptAnswer.js'

/** What a home remembers of one key. */
export interface ClaimRow {
  readonly customer: string
  readonly key: string
  readonly fingerprint: string
  /** Process that was allowed to run the request. */
  readonly executor: { readonly host: string, readonly incarnation: number }
  /** Chosen by the executor; a settlement must name it. */
  readonly claimId: string
  state: 'running' | 'done' | 'unknown'
  /** Time in ms after which a running key counts as unknown. */
  endsAtMs: number
  /** Kept answer of a key that is done; undefined when it was too large or was dropped. */
  answer?: KeptAnswer | undefined
}
