import type { WorkKind } from './WorkKind.js'

/** One part of a route's traffic. */
interface WeightedService {
  readonly service: string
  /** Share of the traffic relative to the other parts. */
  readonly weight: number
}

/** Requests of one host name and path prefix, and how they are served. */
export interface Route {
  readonly name: string
  /** Host name in the `Host` header, in lower case. */
  readonly host: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly kind: WorkKind
  /** Services that share the traffic; a single one has the whole. */
  readonly parts: readonly WeightedService[]
  /** Longest time in ms that a caller is kept waiting. */
  readonly timeoutMs: number
  /** Time in ms within which an answer is on time. */
  readonly objectiveMs: number
  /** Rank, 0 is the most urgent. */
  readonly priority: number
  /** Most endpoints that may run one request. */
  readonly maxAttempts: number
  /** Requests for the same object should reach an endpoint that handled it lately. */
  readonly hasAffinity: boolean
  /** Regions that may serve the route; empty allows all. */
  readonly regions: readonly string[]
}
