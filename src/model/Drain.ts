import type { DrainKind } from './DrainKind.js'

/** A drain requested by an operator; in force until cancelled. */
export interface Drain {
  readonly kind: DrainKind
  /** Name of the endpoint, zone or host. */
  readonly name: string
  /** Operator who requested the drain. */
  readonly by: string
  /** Wall time of the request, in ms since the Unix epoch. */
  readonly atMs: number
}
