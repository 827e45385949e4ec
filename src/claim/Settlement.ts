import type { KeptAnswer } from './KeptAnswer.js'

/** How a claim ended, or that its request still runs. */
export interface Settlement {
  readonly outcome: 'notRun' | 'unknown' | 'done' | 'running'
  readonly answer?: KeptAnswer | undefined
}
