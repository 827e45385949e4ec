import type { ConfigDoc } from '../model/ConfigDoc.js'

/** A configuration with the write that made it; two writes of one version show that the store was rolled back. */
export interface HeldConfig {
  readonly doc: ConfigDoc
  readonly writeId: string
}
