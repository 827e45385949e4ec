import type { Histogram } from 'hdr-histogram-js'
// The package's main module also loads WebAssembly and compression, which cost 13 MB and are not used here.
import histograms from 'hdr-histogram-js/dist/Int32Histogram.js'
import type { Clock } from '../common/Clock.js'

// The CommonJS module is imported as an object that holds its default export.
const { default: Int32Histogram } = histograms

/** Largest recorded value, an hour in ms; larger values are recorded as this one. */
const maxValue = 3_600_000

const windowMs = 60_000

const significantDigits = 2

/**
 * Distribution of the values of the last one to two minutes, with two significant digits.
 * Two histograms alternate, so that expired values are dropped without copying.
 */
export class RollingHistogram {
  private current = createHistogram()
  private previous = createHistogram()
  private windowStartMs: number

  constructor (private readonly clock: Clock) {
    this.windowStartMs = clock.nowMs()
  }

  /** Records a value of 0 or more; fractions are rounded. */
  record (value: number): void {
    this.rotate()
    this.current.recordValue(Math.min(maxValue, Math.max(0, Math.round(value))))
  }

  /** Returns the value at a quantile from 0 to 1; 0 when there are no recent values. */
  quantile (quantile: number): number {
    this.rotate()
    const merged = createHistogram()
    merged.add(this.previous)
    merged.add(this.current)
    return merged.totalCount === 0 ? 0 : merged.getValueAtPercentile(quantile * 100)
  }

  private rotate (): void {
    const elapsedMs = this.clock.nowMs() - this.windowStartMs
    if (elapsedMs < windowMs) return
    const reused = this.previous
    reused.reset()
    this.previous = elapsedMs < 2 * windowMs ? this.current : createHistogram()
    this.current = reused
    this.windowStartMs = this.clock.nowMs()
  }
}

function createHistogram (): Histogram {
  const histogram = new Int32Histogram(1, maxValue, significantDigits)
  histogram.autoResize = false
  return histogram
}
