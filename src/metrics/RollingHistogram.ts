import type { Histogram } from 'hdr-histogram-js'
// The package's main module also loads WebAssembly and compression, which cost 13 MB and are not used here.
import histograms from 'hdr-histogram-js/dist/Int32Histogram.js'
import type { Clock } from '../common/Clock.js'

// The CommonJS module arrives as an object with its default export.
const { default: Int32Histogram } = histograms

/** Largest value; a larger one counts as this. An hour in ms. */
const maxValue = 3_600_000

const windowMs = 60_000

const significantDigits = 2

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
  const histogram = new Int32Histogram(1, maxValue, significantDigits)
  histogram.autoResize = false
  return histogram
}
