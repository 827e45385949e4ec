/** Largest number in progress, over all and per bucket of time. */
interface PeakReport {
  readonly peak: number
  readonly peaks: readonly number[]
}

/** What the upstream stand-in knows about what really happened. */
export interface TruthReport {
  /** Wall time in ms of the first bucket. */
  readonly startMs: number
  readonly bucketMs: number
  readonly totals: {
    /** Requests that reached an endpoint, repeats included. */
    readonly requests: number
    /** Requests whose id had reached an endpoint before. */
    readonly repeats: number
    readonly shed: number
    readonly runs: number
    readonly cancelled: number
    readonly deadlines: number
    readonly probes: number
    readonly connections: number
    /** Requests that reached a region when all its slots of the service were taken. */
    readonly regionOverload: number
  }
  /** Keys (`<customer> <key>`) of work that is not idempotent and ran more than once. */
  readonly duplicateKeys: readonly { readonly id: string, readonly runs: number }[]
  readonly duplicateRequests: readonly { readonly id: string, readonly runs: number }[]
  /** First arrivals per customer and bucket. */
  readonly arrivals: Readonly<Record<string, readonly number[]>>
  readonly customerPeaks: Readonly<Record<string, PeakReport>>
  /** By `customer/region`. */
  readonly customerRegionPeaks: Readonly<Record<string, PeakReport>>
  readonly endpointPeaks: Readonly<Record<string, number>>
  /** By `region/service`. */
  readonly regionServicePeaks: Readonly<Record<string, PeakReport>>
  readonly endpoints: Readonly<Record<string, EndpointTruth>>
}

/** What happened at one endpoint. */
interface EndpointTruth {
  readonly slots: number
  readonly inFlight: number
  readonly served: number
  /** Wall time in ms when the endpoint or the harness first announced its drain; 0 before. */
  readonly drainSignMs: number
  /** Wall time in ms of the last new work since that sign; 0 without any. */
  readonly lastNewWorkMs: number
  /** Wall time in ms when the last work in flight ended since that sign; 0 before. */
  readonly emptyMs: number
  /** New work later than 3 s after the sign. */
  readonly lateNewWork: number
  /** Largest number of connections at once. */
  readonly peakConnections: number
}
