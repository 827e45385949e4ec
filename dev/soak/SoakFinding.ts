/** A promise that was broken, and what shows it. */
export interface SoakFinding {
  readonly promise: string
  readonly detail: string
}
