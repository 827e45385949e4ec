/** How the store stand-in misbehaves; every field may change while it runs. */
export interface StoreFaults {
  /** Calls get this status, `silence` or a reset; undefined serves them. */
  down: 'busy' | 'many' | 'silence' | 'reset' | undefined
  /** Time in ms by which answers are late. */
  delayMs: number
  /** Writes take effect, but their answers are lost; at most `lostAnswers` of them when it is given. */
  losesWriteAnswers: boolean
  lostAnswers?: number
}
