import type { WorkClass } from '../model/WorkClass.js'

/** A caller's request to be admitted under its customer's contract. */
export interface AdmissionRequest {
  readonly customer: string
  readonly workClass: WorkClass
  /** Monotonic time in ms by which the request must be complete. */
  readonly deadlineAtMs: number
  /** Aborted when the caller disconnects; the request then leaves the queue. */
  readonly signal: AbortSignal
}
