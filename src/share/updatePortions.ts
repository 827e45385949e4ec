import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Contract } from '../model/Contract.js'
import { computePortions } from './computePortions.js'
import { computeUsablePortion } from './computeUsablePortion.js'
import { emptyPortion } from './emptyPortion.js'
import { rankLenders } from './rankLenders.js'
import type { ShareRow } from './ShareRow.js'

/** Configuration from which the portions of a customer follow. */
interface PortionInputs {
  readonly doc: ConfigDoc
  /** Contract of the row's customer; undefined when there is none any more. */
  readonly contract: Contract | undefined
  readonly host: string
  /** True when an earlier cap of the customer may still be in use at some host. */
  readonly hasPriorCap: boolean
  /** Configuration versions that the other hosts have applied. */
  readonly appliedVersions: ReadonlyMap<string, number>
}

/** Sets the portion that this host may use and the amounts that the other home hosts could lend. */
export function updatePortions (row: ShareRow, { doc, contract, host, hasPriorCap, appliedVersions }: PortionInputs): void {
  const { share } = row
  if (contract === undefined) {
    share.portion = share.usable = emptyPortion
    row.lenders = new Map()
    return
  }
  const portions = computePortions(doc, contract)
  share.contract = contract
  share.portion = portions.get(host) ?? emptyPortion
  share.usable = hasPriorCap ? computeUsablePortion({ doc, contract, host, appliedVersions }) : share.portion
  row.lenders = new Map(rankLenders(doc, host, [...portions.keys()]).map((name) => {
    const { rate, burst, permits, upload } = portions.get(name) ?? emptyPortion
    return [name, { rate, burst, short: permits, long: Math.floor(permits / 2), upload }]
  }))
}
