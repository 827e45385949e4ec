import type { ResultName } from '../common/ResultName.js'

/** Counters and latency of callers' requests; the implementation bounds the number of label values. */
export abstract class RequestMetrics {
  /** A request was refused with the result `name`; service and customer are empty while they are not known. */
  abstract refused (name: ResultName, service: string, customer: string): void

  /** A further attempt was made because the last one failed with `name`. */
  abstract retried (name: ResultName, service: string, customer: string): void

  /** An answer was delivered completely, `elapsedMs` after the request's headers arrived. */
  abstract completed (service: string, customer: string, elapsedMs: number): void

  /** A second attempt was started because the first one was slow. */
  abstract hedged (service: string, customer: string): void
}
