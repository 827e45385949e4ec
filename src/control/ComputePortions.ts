import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Contract } from '../model/Contract.js'
import type { Portion } from '../share/Portion.js'

/** Pure function that divides a contract's cap among the hosts of a document; hosts that are not in the result hold nothing. */
export type ComputePortions = (doc: ConfigDoc, contract: Contract) => ReadonlyMap<string, Portion>
