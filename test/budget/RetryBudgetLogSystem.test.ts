import { expect } from 'earl'
import { test } from 'node:test'
import { RetryBudgetLogSystem } from '../../src/budget/RetryBudgetLogSystem.js'
import { ServiceRetryBudget } from '../../src/budget/ServiceRetryBudget.js'
import { MemoryLogger } from '../support/MemoryLogger.js'

// Guards against retries that are left out without a trace, and against one log line for each of them.
test('denied retries are logged once a second with what decided them', () => {
  const logger = new MemoryLogger()
  const shares = { ofRatio: 0.8, ofSlack: 0.4 }
  const retries = new ServiceRetryBudget(() => ({ retryWindowMs: 10_000, retryRatio: 0, retrySlack: 5 }), () => shares)
  const system = new RetryBudgetLogSystem({ retries, getShares: () => shares, logger })
  system.run(0)
  for (let nowMs = 100; nowMs <= 2_000; nowMs += 100) {
    retries.take('stock', nowMs)
    system.run(nowMs)
  }
  expect(logger.lines).toEqual([
    'info retries-denied service=stock denied=1 requests=0 retries=2 allowed=2 ratioShare=0.8 slackShare=0.4 upMs=300',
    'info retries-denied service=stock denied=10 requests=0 retries=2 allowed=2 ratioShare=0.8 slackShare=0.4 upMs=1300'
  ])
})
