const windowSize = 128
const refreshEvery = 32
const minSamples = 32
const hedgeQuantile = 0.95
/** Below this delay in ms a second attempt costs more than the wait that it could save. */
const minHedgeMs = 10

/** Recent service times of one service. */
interface Window {
  readonly samples: Float64Array
  count: number
  hedgeAfterMs: number
  typicalMs: number
}

/** Remembers recent service times, to tell when an answer is late. */
export class ServiceTimes {
  private readonly windows = new Map<string, Window>()

  add (service: string, elapsedMs: number): void {
    const window = this.windows.get(service) ?? { samples: new Float64Array(windowSize), count: 0, hedgeAfterMs: Infinity, typicalMs: 0 }
    this.windows.set(service, window)
    window.samples[window.count % windowSize] = elapsedMs
    window.count += 1
    if (window.count >= minSamples && window.count % refreshEvery === 0) refresh(window)
  }

  /** Time in ms after which a second attempt may start; infinite while there are too few samples. */
  hedgeAfterMs (service: string): number {
    return this.windows.get(service)?.hedgeAfterMs ?? Infinity
  }

  /** Median in ms; 0 while there are too few samples. */
  typicalMs (service: string): number {
    return this.windows.get(service)?.typicalMs ?? 0
  }

  /** Forgets services that are not in `keep`. */
  retain (keep: ReadonlySet<string>): void {
    for (const service of this.windows.keys()) {
      if (!keep.has(service)) this.windows.delete(service)
    }
  }
}

function refresh (window: Window): void {
  const size = Math.min(window.count, windowSize)
  const sorted = window.samples.slice(0, size).sort()
  window.hedgeAfterMs = Math.max(minHedgeMs, sorted[Math.floor((size - 1) * hedgeQuantile)]!)
  window.typicalMs = sorted[size >> 1]!
}
