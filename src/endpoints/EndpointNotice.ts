import type { LoadReport } from './LoadReport.js'
import type { NoticeReading } from './NoticeReading.js'

/** What an endpoint says of itself in one response. */
export interface EndpointNotice {
  /** Load after the response; undefined when not reported. */
  readonly load: LoadReport | undefined
  /** Requests a second that the endpoint takes from all hosts together. */
  readonly rateLimit: NoticeReading<number>
  /** Present when the endpoint is about to end. */
  readonly leaving: NoticeReading<true>
  /** Time in ms for which the endpoint wants nothing from this host. */
  readonly backoffMs: NoticeReading<number>
}
