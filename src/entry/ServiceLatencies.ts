const windowSize = 128
const samplesPerRefresh = 32
const minSamples = 32
const hedgeQuantile = 0.95
/** Below this delay in ms a second attempt costs more than the wait that it could save. */
const minHedgeDelayMs = 10

/** Recent service times of one service. */
interface LatencyWindow {
  readonly samples: Float64Array
  count: number
  hedgeDelayMs: number
  medianMs: number
}

/** Remembers recent service times, to tell when an answer is late. */
export class ServiceLatencies {
  private readonly windows = new Map<string, LatencyWindow>()

  add (service: string, elapsedMs: number): void {
    const window = this.windows.get(service) ?? { samples: new Float64Array(windowSize), count: 0, hedgeDelayMs: Infinity, medianMs: 0 }
    this.windows.set(service, window)
    window.samples[window.count % windowSize] = elapsedMs
    window.count += 1
    if (window.count >= minSamples && window.count % samplesPerRefresh === 0) updateQuantiles(window)
  }

  /** Time in ms after which a second attempt may start; infinite while there are too few samples. */
  hedgeDelayMs (service: string): number {
    return this.windows.get(service)?.hedgeDelayMs ?? Infinity
  }

  /** Median in ms; 0 while there are too few samples. */
  medianMs (service: string): number {
    return this.windows.get(service)?.medianMs ?? 0
  }

  /** Forgets services that are not in `keep`. */
  retain (keep: ReadonlySet<string>): void {
    for (const service of this.windows.keys()) {
      if (!keep.has(service)) this.windows.delete(service)
    }
  }
}

function updateQuantiles (window: LatencyWindow): void {
  const size = Math.min(window.count, windowSize)
  const sorted = window.samples.slice(0, size).sort()
  window.hedgeDelayMs = Math.max(minHedgeDelayMs, sorted[Math.floor((size - 1) * hedgeQuantile)]!)
  window.medianMs = sorted[size >> 1]!
}
