/** A member that another agent sees differently. */
export interface MemberDifference {
  /** Agent that sees the member differently. */
  readonly by: string
  readonly host: string
  /** What this agent sees, as state and version. */
  readonly here: string
  readonly there: string
}
