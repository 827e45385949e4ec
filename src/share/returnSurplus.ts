import { combineAmounts } from './combineAmounts.js'
import { createAmount } from './createAmount.js'
import type { LoanAmount } from './LoanAmount.js'
import type { ShareRow } from './ShareRow.js'

const resources = ['rate', 'burst', 'short', 'long', 'upload'] as const
/** Held amounts up to this factor over the want are kept, so that small changes of demand move no loans. */
const surplusTolerance = 1.25

/**
 * Reduces loans from the lenders in `due` to what is wanted, the farthest lender's first. The caller sends
 * each of these lenders a statement afterwards.
 */
export function returnSurplus (row: ShareRow, nowMs: number, due: ReadonlySet<string>): void {
  const { share } = row
  const wanted = computeLoanDemand(row, nowMs)
  const held = share.held.listAll().reduce((sum, { amount }) => combineAmounts(sum, amount, (a, b) => a + b), createAmount())
  for (const part of resources) {
    if (held[part] > wanted[part] * surplusTolerance) reduceResource(row, part, wanted[part], due, nowMs)
  }
}

function reduceResource (row: ShareRow, part: keyof LoanAmount, wanted: number, due: ReadonlySet<string>, nowMs: number): void {
  let budget = wanted
  for (const lender of row.lenders.keys()) {
    for (const loan of row.share.held.listByLender(lender)) {
      const used = part === 'short' ? loan.usedShort : part === 'long' ? loan.usedLong : 0
      const kept = Math.max(used, Math.min(loan.amount[part], Math.ceil(budget)))
      budget = Math.max(0, budget - kept)
      if (!due.has(lender) || kept >= loan.amount[part]) continue
      loan.amount[part] -= isPermit(part) ? row.share.limitByRegions(nowMs, loan.amount[part] - kept) : loan.amount[part] - kept
    }
  }
}

function isPermit (part: keyof LoanAmount): boolean {
  return part === 'short' || part === 'long'
}

/** What is wanted on top of the host's own portion. */
function computeLoanDemand (row: ShareRow, nowMs: number): LoanAmount {
  const { share } = row
  const want = share.computeDemand(nowMs)
  const own = share.computeOwn(nowMs)
  const usedLong = share.held.listAll().reduce((sum, loan) => sum + loan.usedLong, 0)
  const wanted = combineAmounts(want, own, (a, b) => Math.max(0, a - b))
  return { ...wanted, long: want.long + usedLong }
}
