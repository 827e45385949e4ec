import type { WorkClass } from '../model/WorkClass.js'

/** A caller's request that asks to be admitted under its customer's contract. */
export interface AdmissionRequest {
  readonly customer: string
  readonly workClass: WorkClass
  /** Monotonic time in ms by which the request must be complete. */
  readonly deadlineAtMs: number
  /** Aborted when the caller has gone; the request then leaves the queue. */
  readonly signal: AbortSignal
}
