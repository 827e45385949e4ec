import type { Contract } from '../model/Contract.js'
import { CustomerShare } from './CustomerShare.js'
import { emptyPortion } from './emptyPortion.js'
import type { ShareRow } from './ShareRow.js'

/** Times in monotonic ms from which a row may be used. */
interface RowTimes {
  readonly rateFromMs: number
  readonly permitsFromMs: number
  readonly nowMs: number
}

/** Builds the row of a customer without portions, loans or requests. */
export function createShareRow (contract: Contract, times: RowTimes): ShareRow {
  return {
    customer: contract.customer,
    share: new CustomerShare({ contract, portion: emptyPortion, usable: emptyPortion, ...times }),
    lenders: new Map(),
    pending: new Map(),
    owed: new Map(),
    pauses: new Map(),
    recalledBy: new Set(),
    settled: new Map(),
    servedMs: -Infinity,
    recalledMs: -Infinity
  }
}
