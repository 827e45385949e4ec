/** A request or a retry that a host sent to the endpoint or service of the run. */
export interface LimitSend {
  readonly atMs: number
  /** False when the rule of the bound leaves this one out. */
  readonly isCounted: boolean
}
