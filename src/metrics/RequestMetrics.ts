import type { ResultName } from '../common/ResultName.js'

/** Records counts and latency of callers' requests. Implementations bound the number of label values. */
export abstract class RequestMetrics {
  /** Counts a request that was refused with the result `name`; service and customer are empty while unknown. */
  abstract refused (name: ResultName, service: string, customer: string): void

  /** Counts a retry that was made because the previous attempt failed with `name`. */
  abstract retried (name: ResultName, service: string, customer: string): void

  /** Counts a response of an endpoint that was replaced because its status would have told that a non-idempotent request did not run. */
  abstract replaced (status: number, service: string, customer: string): void

  /** Records a response that was delivered completely, `elapsedMs` after the request's headers arrived. */
  abstract completed (service: string, customer: string, elapsedMs: number): void

  /** Counts a hedged attempt that was started because the first one was slow. */
  abstract hedged (service: string, customer: string): void
}
