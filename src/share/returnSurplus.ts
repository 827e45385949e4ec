import { combineAmounts } from './combineAmounts.js'
import { createAmount } from './createAmount.js'
import type { LoanAmount } from './LoanAmount.js'
import type { ShareRow } from './ShareRow.js'

const resources = ['rate', 'burst', 'short', 'long', 'upload'] as const
/** Borrowed amounts up to this multiple of the demand are kept, so that small changes of demand cause no returns. */
const surplusTolerance = 1.25

/**
 * Reduces the loans from the lenders in `due` to the demand, starting with the farthest lender. The caller must
 * send each of these lenders a statement afterwards.
 */
export function returnSurplus (row: ShareRow, nowMs: number, due: ReadonlySet<string>): void {
  const { share } = row
  const demand = computeLoanDemand(row, nowMs)
  const held = share.borrowed.listAll().reduce((sum, { amount }) => combineAmounts(sum, amount, (a, b) => a + b), createAmount())
  for (const resource of resources) {
    if (held[resource] > demand[resource] * surplusTolerance) reduceResource(row, resource, demand[resource], due, nowMs)
  }
}

function reduceResource (row: ShareRow, resource: keyof LoanAmount, demand: number, due: ReadonlySet<string>, nowMs: number): void {
  let budget = demand
  for (const lender of row.lenders.keys()) {
    for (const loan of row.share.borrowed.listByLender(lender)) {
      const used = resource === 'short' ? loan.usedShort : resource === 'long' ? loan.usedLong : 0
      const kept = Math.max(used, Math.min(loan.amount[resource], Math.ceil(budget)))
      budget = Math.max(0, budget - kept)
      if (!due.has(lender) || kept >= loan.amount[resource]) continue
      loan.amount[resource] -= isPermit(resource) ? row.share.limitByRegions(nowMs, loan.amount[resource] - kept) : loan.amount[resource] - kept
    }
  }
}

function isPermit (resource: keyof LoanAmount): boolean {
  return resource === 'short' || resource === 'long'
}

/** Computes the demand that exceeds what the host may use of its own portion. */
function computeLoanDemand (row: ShareRow, nowMs: number): LoanAmount {
  const { share } = row
  const ownDemand = share.computeDemand(nowMs)
  const own = share.computeOwnAmount(nowMs)
  const usedLong = share.borrowed.listAll().reduce((sum, loan) => sum + loan.usedLong, 0)
  const demand = combineAmounts(ownDemand, own, (a, b) => Math.max(0, a - b))
  return { ...demand, long: ownDemand.long + usedLong }
}
