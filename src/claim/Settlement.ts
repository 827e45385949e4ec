import type { StoredAnswer } from './StoredAnswer.js'

/** Result of a claim, or the notice that its request still runs. */
export interface Settlement {
  readonly outcome: 'notRun' | 'unknown' | 'done' | 'running'
  readonly answer?: StoredAnswer | undefined
}
