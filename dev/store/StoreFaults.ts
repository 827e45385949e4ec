/** Faults of the store stand-in; each field may change at run time. */
export interface StoreFaults {
  /** Calls get status 503 (`busy`) or 429 (`many`), no response (`silence`) or a reset; undefined serves them. */
  down: 'busy' | 'many' | 'silence' | 'reset' | undefined
  /** Delay in ms before a call is served. */
  delayMs: number
  /** Writes take effect, but their responses are lost; at most `lostAnswers` of them when that is set. */
  losesWriteAnswers: boolean
  lostAnswers?: number
}
