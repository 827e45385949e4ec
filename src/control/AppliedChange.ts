import type { ConfigDoc } from '../model/ConfigDoc.js'

/** Document that results from a change, and the change's description for the log in the head. */
export interface AppliedChange {
  readonly doc: ConfigDoc
  readonly change: string
}
