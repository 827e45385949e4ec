import type { ConfigDoc } from '../model/ConfigDoc.js'

/** A configuration with the id of the write that created it; two write ids for one version reveal that the store was rolled back. */
export interface HeldConfig {
  readonly doc: ConfigDoc
  readonly writeId: string
}
