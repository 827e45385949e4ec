import type { CallKind } from './CallKind.js'

/** Stream of requests of one kind from the callers of one customer in one region. */
export interface TrafficStream {
  readonly customer: string
  readonly region: string
  readonly kind: CallKind
  /** Name and path of the service. */
  readonly service: string
  readonly path: string
  readonly ratePerSecond: number
  /** Size of the answer for reads, of the request body for uploads. */
  readonly bytes?: number
  readonly deadlineMs?: number
  /** Number of callers that the requests are spread over; default 3. */
  readonly callers?: number
  /** Host that all callers use, regardless of the lookup's result. */
  readonly pinnedHost?: string
  /** Maximum number of retries of a request that was refused without being run; default 2. */
  readonly maxRetries?: number
  /** Start and end of the stream, in ms since the generator was created; default the whole run. */
  readonly fromMs?: number
  readonly untilMs?: number
}
