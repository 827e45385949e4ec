/** A broken promise, with the evidence. */
export interface SoakFinding {
  readonly promise: string
  readonly detail: string
}
