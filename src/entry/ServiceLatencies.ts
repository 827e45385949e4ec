const windowSize = 128
const samplesPerRefresh = 32
const minSamples = 32
const hedgeQuantile = 0.95
/** Minimum delay in ms before a hedge; for shorter delays a hedge costs more than the wait that it could save. */
const minHedgeDelayMs = 10

/** Recent latencies of one service, and the quantiles computed from them. */
interface LatencyWindow {
  readonly samples: Float64Array
  count: number
  hedgeDelayMs: number
  medianMs: number
}

/** Keeps a window of recent latencies per service, from which hedge delays and medians are computed. */
export class ServiceLatencies {
  private readonly windowsByService = new Map<string, LatencyWindow>()

  add (service: string, elapsedMs: number): void {
    const window = this.windowsByService.get(service) ?? { samples: new Float64Array(windowSize), count: 0, hedgeDelayMs: Infinity, medianMs: 0 }
    this.windowsByService.set(service, window)
    window.samples[window.count % windowSize] = elapsedMs
    window.count += 1
    if (window.count >= minSamples && window.count % samplesPerRefresh === 0) updateQuantiles(window)
  }

  /** Returns the time in ms after which a hedge may start; infinite while there are too few samples. */
  hedgeDelayMs (service: string): number {
    return this.windowsByService.get(service)?.hedgeDelayMs ?? Infinity
  }

  /** Returns the median latency in ms; 0 while there are too few samples. */
  medianMs (service: string): number {
    return this.windowsByService.get(service)?.medianMs ?? 0
  }

  /** Removes the services that are not in `keep`. */
  retain (keep: ReadonlySet<string>): void {
    for (const service of this.windowsByService.keys()) {
      if (!keep.has(service)) this.windowsByService.delete(service)
    }
  }
}

function updateQuantiles (window: LatencyWindow): void {
  const size = Math.min(window.count, windowSize)
  const sorted = window.samples.slice(0, size).sort()
  window.hedgeDelayMs = Math.max(minHedgeDelayMs, sorted[Math.floor((size - 1) * hedgeQuantile)]!)
  window.medianMs = sorted[size >> 1]!
}
