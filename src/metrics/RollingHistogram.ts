import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import type { Clock } from '../common/Clock.js'

/** Largest value; a larger one counts as this. An hour in ms. */
const maxValue = 3_600_000

const windowMs = 60_000

/**
 * Distribution of the values of the last one to two minutes, with two significant digits.
 * Two histograms take turns, so that old values leave without a copy.
 */
export class RollingHistogram {
  private current = createHistogram()
  private previous = createHistogram()
  private turnMs: number

  constructor (private readonly clock: Clock) {
    this.turnMs = clock.nowMs()
  }

  /** Records a value of 0 or more; fractions are rounded. */
  record (value: number): void {
    this.turn()
    this.current.recordValue(Math.min(maxValue, Math.max(0, Math.round(value))))
  }

  /** Value at a quantile from 0 to 1; 0 when nothing was recorded lately. */
  quantile (quantile: number): number {
    this.turn()
    const merged = createHistogram()
    merged.add(this.previous)
    merged.add(this.current)
    return merged.totalCount === 0 ? 0 : merged.getValueAtPercentile(quantile * 100)
  }

  private turn (): void {
    const elapsedMs = this.clock.nowMs() - this.turnMs
    if (elapsedMs < windowMs) return
    const reused = this.previous
    reused.reset()
    this.previous = elapsedMs < 2 * windowMs ? this.current : createHistogram()
    this.current = reused
    this.turnMs = this.clock.nowMs()
  }
}

function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: maxValue, numberOfSignificantValueDigits: 2, autoResize: false })
}
