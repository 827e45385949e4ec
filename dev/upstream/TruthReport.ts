/** Largest number of requests in progress, overall and per time bucket. */
interface PeakReport {
  readonly peak: number
  readonly peaks: readonly number[]
}

/** Ground truth of the requests, as recorded by the upstream stand-in. */
export interface TruthReport {
  /** Wall time in ms of the first bucket. */
  readonly startMs: number
  readonly bucketMs: number
  readonly totals: {
    /** Requests that reached an endpoint, including repeats. */
    readonly requests: number
    /** Requests whose id had reached an endpoint before. */
    readonly repeats: number
    readonly shed: number
    readonly runs: number
    readonly cancelled: number
    readonly deadlines: number
    readonly probes: number
    readonly connections: number
    /** Requests that reached a region when all its slots of the service were in use. */
    readonly regionOverload: number
  }
  /** Keys (`<customer> <key>`) of non-idempotent requests that ran more than once. */
  readonly duplicateKeys: readonly { readonly id: string, readonly runs: number }[]
  readonly duplicateRequests: readonly { readonly id: string, readonly runs: number }[]
  /** Arrivals per customer and time bucket, without repeats. */
  readonly arrivals: Readonly<Record<string, readonly number[]>>
  readonly customerPeaks: Readonly<Record<string, PeakReport>>
  /** By `customer/region`. */
  readonly customerRegionPeaks: Readonly<Record<string, PeakReport>>
  readonly endpointPeaks: Readonly<Record<string, number>>
  /** By `region/service`. */
  readonly regionServicePeaks: Readonly<Record<string, PeakReport>>
  readonly endpoints: Readonly<Record<string, EndpointTruth>>
}

/** Ground truth of one endpoint. */
interface EndpointTruth {
  readonly slots: number
  readonly inFlight: number
  readonly served: number
  /** Wall time in ms at which the endpoint or the harness first announced its drain; 0 before. */
  readonly drainSignMs: number
  /** Wall time in ms of the last new request since the announcement; 0 without any. */
  readonly lastNewWorkMs: number
  /** Wall time in ms at which the last request in flight since the announcement ended; 0 before. */
  readonly emptyMs: number
  /** Number of new requests more than 3 s after the announcement. */
  readonly lateNewWork: number
  /** Largest number of concurrent connections. */
  readonly peakConnections: number
}
