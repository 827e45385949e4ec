import type { CallKind } from './CallKind.js'

/** Requests of one kind that callers of one customer in one region send. */
export interface TrafficStream {
  readonly customer: string
  readonly region: string
  readonly kind: CallKind
  /** Name and path of the service. */
  readonly service: string
  readonly path: string
  readonly ratePerSecond: number
  /** Bytes of the answer for reads, of the body for uploads. */
  readonly bytes?: number
  readonly deadlineMs?: number
  /** Number of callers that the requests are spread over; default 3. */
  readonly callers?: number
  /** Host that all callers use, whatever the lookup says. */
  readonly pinnedHost?: string
  /** Times that a request that was not run is sent again; default 2. */
  readonly repeats?: number
  /** Times in ms since the generator was made, between which requests are sent; default the whole run. */
  readonly fromMs?: number
  readonly untilMs?: number
}
