/** A member whose state or version differs between this agent and another. */
export interface MemberDifference {
  /** Host of the other agent. */
  readonly by: string
  readonly host: string
  /** State and version in this agent's table. */
  readonly here: string
  /** State and version in the other agent's table. */
  readonly there: string
}
