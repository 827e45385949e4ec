import { expect } from 'earl'
import fc from 'fast-check'
import { test } from 'node:test'
import { ServiceRetryBudget } from '../../src/budget/ServiceRetryBudget.js'

const singleHostShares = { ofRatio: 0.8, ofSlack: 0.8 }
const bounds = { retryWindowMs: 10_000, retryRatio: 0.2, retrySlack: 64 }

// Guards against a failure of many endpoints in which the hosts together make more retries than the deployment allows.
test('all hosts together stay within the bound in every window', () => {
  fc.assert(fc.property(
    fc.integer({ min: 1, max: 20 }),
    fc.array(fc.integer({ min: 0, max: 400 }), { minLength: 20, maxLength: 60 }),
    (hosts, rates) => {
      const budgets = Array.from({ length: hosts }, () => new ServiceRetryBudget(() => bounds, () => ({ ofRatio: 0.8, ofSlack: 0.8 / hosts })))
      const retries: number[] = []
      const requests: number[] = []
      for (const [second, rate] of rates.entries()) {
        const nowMs = second * 1_000
        let taken = 0
        for (let index = 0; index < rate; index++) {
          const budget = budgets[index % hosts]!
          budget.recordRequest('stock', nowMs)
          if (budget.take('stock', nowMs)) taken += 1
        }
        requests.push(rate)
        retries.push(taken)
      }
      return retries.every((_taken, end) => {
        const sum = (values: readonly number[], last: number): number => values.slice(Math.max(0, last - 9), Math.max(0, last + 1)).reduce((total, value) => total + value, 0)
        // The requests are those of the window, of the one before it or of the one half a window before it, whichever has most.
        const most = Math.max(...[0, 5, 10].map((shift) => sum(requests, end - shift)))
        return sum(retries, end) <= bounds.retryRatio * most + bounds.retrySlack
      })
    }
  ), { numRuns: 50, examples: [[1, [104, 0, 74, 33, 189, 337, 0, 0, 0, 0, 106, 0, 0, 0, 2, 0, 0, 0, 0, 79, 0, 0]]] })
})

// Guards against retries that are forgotten up to a slice of the window too early, so that the slack is used twice in a window.
test('retries count until a whole window has passed', () => {
  const budget = new ServiceRetryBudget(() => ({ retryWindowMs: 10_000, retryRatio: 0, retrySlack: 5 }), () => singleHostShares)
  const firstAtMs = 499
  while (budget.take('stock', firstAtMs));
  for (let nowMs = firstAtMs; nowMs < firstAtMs + 10_000; nowMs++) expect([nowMs, budget.take('stock', nowMs)]).toEqual([nowMs, false])
  expect(budget.take('stock', firstAtMs + 11_000)).toEqual(true)
})

// Guards against services that exhaust each other's budget.
test('each service has a separate budget', () => {
  const budget = new ServiceRetryBudget(() => ({ retryWindowMs: 1_000, retryRatio: 0, retrySlack: 2 }), () => singleHostShares)
  expect(budget.take('a', 0)).toEqual(true)
  expect(budget.take('a', 0)).toEqual(false)
  expect(budget.take('b', 0)).toEqual(true)
})

// Guards against a change of the settings after which the retries of the window are forgotten.
test('retries still count after the window has been changed', () => {
  let retryWindowMs = 10_000
  const budget = new ServiceRetryBudget(() => ({ retryWindowMs, retryRatio: 0, retrySlack: 5 }), () => singleHostShares)
  while (budget.take('stock', 0));
  retryWindowMs = 12_000
  expect([budget.take('stock', 1_000), budget.take('stock', 14_000)]).toEqual([false, true])
})
