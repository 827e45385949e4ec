import type { ConfigDoc } from '../model/ConfigDoc.js'

/** The document that a change makes, and its line for the head's log. */
export interface AppliedChange {
  readonly doc: ConfigDoc
  readonly change: string
}
