import { test } from 'node:test'
import { expect } from 'earl'
import type { WorkClass } from '../../src/model/WorkClass.js'
import { LinkBudget } from '../../src/steer/LinkBudget.js'

const share = { bytesPerSecond: 1_000_000, orderWeight: 3, bulkWeight: 1, bulkMinimum: 0.1 }

/** Sends for 10 s in steps of 10 ms as much as the budget lets each class send, and returns bytes per second by class. */
function fill (budget: LinkBudget, demand: Partial<Record<WorkClass, number>>): Record<string, number> {
  const sent: Record<string, number> = {}
  const next: Record<string, number> = {}
  for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
    for (const [name, bytesPerSecond] of Object.entries(demand)) {
      const workClass = name as WorkClass
      if ((next[name] ?? 0) > nowMs) continue
      const bytes = bytesPerSecond / 100
      next[name] = nowMs + budget.reserve(workClass, bytes, nowMs)
      sent[name] = (sent[name] ?? 0) + bytes
    }
  }
  return Object.fromEntries(Object.entries(sent).map(([name, bytes]) => [name, bytes / 10]))
}

// Guards against bulk transfers that slow down reads, and against bulk that stalls under full load.
test('bulk keeps its minimum and interactive work goes first', () => {
  const rates = fill(new LinkBudget(share), { interactive: 880_000, bulk: 3_000_000 })
  expect(rates.interactive!).toBeGreaterThanOrEqual(870_000)
  expect(rates.bulk!).toBeGreaterThanOrEqual(95_000)
  expect(rates.interactive! + rates.bulk!).toBeLessThanOrEqual(1_050_000)
})

// Guards against orders and bulk sharing other than by their weights.
test('orders and bulk share by weight when both wait', () => {
  const rates = fill(new LinkBudget(share), { order: 3_000_000, bulk: 3_000_000 })
  expect(rates.order! / rates.bulk!).toBeGreaterThanOrEqual(2.5)
  expect(rates.order! / rates.bulk!).toBeLessThanOrEqual(3.5)
  expect(rates.order! + rates.bulk!).toBeLessThanOrEqual(1_080_000)
})

// Guards against an idle link that bulk may not use.
test('bulk alone gets the whole link', () => {
  expect(fill(new LinkBudget(share), { bulk: 3_000_000 }).bulk!).toBeGreaterThanOrEqual(950_000)
})
