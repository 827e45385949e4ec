import type { Result } from 'neverthrow'
import type { Failure } from '../common/Failure.js'
import type { CustomerUsage } from '../model/CustomerUsage.js'
import type { AdmissionRequest } from './AdmissionRequest.js'
import type { Permit } from './Permit.js'

/** Admits requests within the caps of their customers' contracts. */
export abstract class AdmissionController {
  /**
   * Admits a request, which waits in the customer's bounded queue until a token and a permit are available; both are
   * borrowed from other hosts when needed. Failures, all with outcome `not-run`: `rateCap`, `concurrencyCap`, `queueFull`,
   * `quarantine`, `deadlineExceeded`, `unknownItem`.
   */
  abstract admit (request: AdmissionRequest): Promise<Result<Permit, Failure>>

  /** Takes one retry from the customer's budget, or returns false when the budget is used up. */
  abstract takeRetry (customer: string): boolean

  /** Lists the use of customers with recent traffic, the busiest first. */
  abstract listUses (): CustomerUsage[]
}
