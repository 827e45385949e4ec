import type { RequestKind } from './RequestKind.js'

/** A service that receives a weighted share of a route's traffic. */
interface WeightedService {
  readonly service: string
  /** Weight relative to the other services of the route. */
  readonly weight: number
}

/** Defines how requests for a host name and path prefix are served. */
export interface Route {
  readonly name: string
  /** Host name in the `Host` header, in lower case. */
  readonly host: string
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string
  readonly kind: RequestKind
  /** Services among which the traffic is split; a single service receives all of it. */
  readonly parts: readonly WeightedService[]
  /** Longest time in ms that a caller waits for a response. */
  readonly timeoutMs: number
  /** Latency objective in ms. */
  readonly objectiveMs: number
  /** Priority; 0 is the highest. */
  readonly priority: number
  /** Maximum number of endpoints that may run one request. */
  readonly maxAttempts: number
  /** Requests for an object prefer endpoints that have handled the object recently. */
  readonly hasAffinity: boolean
  /** Regions that may serve the route; empty allows all. */
  readonly regions: readonly string[]
}
