import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Contract } from '../model/Contract.js'
import type { Portion } from './Portion.js'
import { rankHomeHosts } from './rankHomeHosts.js'
import { splitCap } from './splitCap.js'

/** Divides a contract's cap over the customer's home hosts. Hosts that are not in the result have no portion. */
export function computePortions (doc: ConfigDoc, contract: Contract): Map<string, Portion> {
  return splitCap(contract, rankHomeHosts(contract.customer, doc.hosts))
}
