import type { Contract } from '../model/Contract.js'
import { CustomerShare } from './CustomerShare.js'
import { emptyPortion } from './emptyPortion.js'
import type { ShareRow } from './ShareRow.js'

/** Monotonic times in ms of a row's quarantine, and of its creation. */
interface ShareRowTimes {
  readonly rateQuarantineEndsAtMs: number
  readonly permitQuarantineEndsAtMs: number
  readonly nowMs: number
}

/** Creates the row of a customer without portions, loans and requests. */
export function createShareRow (contract: Contract, times: ShareRowTimes): ShareRow {
  return {
    customer: contract.customer,
    share: new CustomerShare({ contract, portion: emptyPortion, usable: emptyPortion, ...times }),
    lenders: new Map(),
    pending: new Map(),
    unansweredSinceMs: new Map(),
    backoffs: new Map(),
    recalledBy: new Set(),
    settledSeqs: new Map(),
    lastCheckAtMs: -Infinity,
    lastRecallAtMs: -Infinity
  }
}
