import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Contract } from '../model/Contract.js'
import type { Portion } from '../share/Portion.js'

/** Pure function that divides a contract's cap among the hosts of a document; hosts without an entry in the result have no portion. */
export type ComputePortions = (doc: ConfigDoc, contract: Contract) => ReadonlyMap<string, Portion>
