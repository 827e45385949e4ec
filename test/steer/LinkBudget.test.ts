import { test } from 'node:test'
import { expect } from 'earl'
import type { WorkClass } from '../../src/model/WorkClass.js'
import { LinkBudget } from '../../src/steer/LinkBudget.js'

const share = { bytesPerSecond: 1_000_000, orderWeight: 3, bulkWeight: 1, bulkMinimum: 0.1 }

/** Sends the demand of each class for 10 s in steps of 10 ms, as far as the budget allows, and returns bytes per second by class. */
function sendAsAllowed (budget: LinkBudget, demand: Partial<Record<WorkClass, number>>): Record<string, number> {
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

// Guards against bulk transfers that slow down interactive requests, and against bulk that stalls when the link is full.
test('bulk keeps its minimum and interactive requests take precedence', () => {
  const rates = sendAsAllowed(new LinkBudget(share), { interactive: 880_000, bulk: 3_000_000 })
  expect(rates.interactive!).toBeGreaterThanOrEqual(870_000)
  expect(rates.bulk!).toBeGreaterThanOrEqual(95_000)
  expect(rates.interactive! + rates.bulk!).toBeLessThanOrEqual(1_050_000)
})

// Guards against orders and bulk that divide the link other than by their weights.
test('orders and bulk divide the link by weight when both are active', () => {
  const rates = sendAsAllowed(new LinkBudget(share), { order: 3_000_000, bulk: 3_000_000 })
  expect(rates.order! / rates.bulk!).toBeGreaterThanOrEqual(2.5)
  expect(rates.order! / rates.bulk!).toBeLessThanOrEqual(3.5)
  expect(rates.order! + rates.bulk!).toBeLessThanOrEqual(1_080_000)
})

// Guards against bulk that may not use an otherwise idle link.
test('bulk gets the whole link when nothing else uses it', () => {
  expect(sendAsAllowed(new LinkBudget(share), { bulk: 3_000_000 }).bulk!).toBeGreaterThanOrEqual(950_000)
})
