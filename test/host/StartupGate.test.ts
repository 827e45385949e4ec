import { test } from 'node:test'
import { expect } from 'earl'
import { StoreHealth } from '../../src/catalog/StoreHealth.js'
import { hostLimits } from '../../src/host/hostLimits.js'
import { StartupGate } from '../../src/host/StartupGate.js'

/** Creates a gate whose clock shows `elapsedMs` after the start. */
function createGate (health: StoreHealth, elapsedMs = 0): StartupGate {
  const times = [0]
  return new StartupGate({ health, clock: { nowMs: () => times.shift() ?? elapsedMs, wallMs: () => 0 } })
}

// Guards against a host that serves with the endpoints of a cut-off peer because another table was read from the store.
test('the tables of peers are relied on once all tables were read from the store', () => {
  const health = new StoreHealth()
  const gate = createGate(health)
  const isOpenAfter = (['orders', 'hosts', 'endpoints'] as const).map((table) => {
    health.recordSuccess(table, 0)
    return gate.mayRelyOnTables
  })
  expect(isOpenAfter).toEqual([false, false, true])
})

// Guards against a host that stays unready while the store is unreachable or slow.
test('the tables of peers are relied on when the store is unreachable or too slow', () => {
  const health = new StoreHealth()
  const late = createGate(health, hostLimits.maxStartupWaitMs)
  const early = createGate(health, hostLimits.maxStartupWaitMs - 1)
  expect([late.mayRelyOnTables, early.mayRelyOnTables]).toEqual([true, false])
  health.recordFailure()
  expect(early.mayRelyOnTables).toEqual(true)
})

// Guards against a ready host that becomes unready in a later outage.
test('a host that relies on its tables keeps doing so', () => {
  const health = new StoreHealth()
  const gate = createGate(health)
  health.recordFailure()
  const isOpen = [gate.mayRelyOnTables]
  health.recordSuccess('orders', 0)
  isOpen.push(gate.mayRelyOnTables)
  expect(isOpen).toEqual([true, true])
})
