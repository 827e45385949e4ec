import type { Result } from 'neverthrow'
import type { Failure } from '../common/Failure.js'
import type { CustomerUse } from '../model/CustomerUse.js'
import type { AdmissionRequest } from './AdmissionRequest.js'
import type { Permit } from './Permit.js'

/** Admits requests within the caps of their customers' contracts. */
export abstract class Admission {
  /**
   * Waits in the customer's bounded queue until rate and a permit are there, borrowing them when needed.
   * Failures, all `not-run`: `rateCap`, `concurrencyCap`, `queueFull`, `quarantine`, `deadlineExceeded`, `unknownItem`.
   */
  abstract admit (request: AdmissionRequest): Promise<Result<Permit, Failure>>

  /** Takes one retry from the customer's budget; false when it is used up. */
  abstract takeRetry (customer: string): boolean

  /** Use of customers that had traffic lately, the busiest first. */
  abstract listUses (): CustomerUse[]
}
