import type { DrainKind } from './DrainKind.js'

/** An announced drain; in force until cancelled. */
export interface Drain {
  readonly kind: DrainKind
  /** Name of the endpoint, zone or host. */
  readonly name: string
  /** Operator who announced it. */
  readonly by: string
  /** Wall time of the announcement, in ms since the Unix epoch. */
  readonly atMs: number
}
