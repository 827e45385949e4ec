import { test } from 'node:test'
import { expect } from 'earl'
import { StoreHealth } from '../../src/catalog/StoreHealth.js'

// Guards against a host that serves with the endpoints of a cut-off peer because another table was read from the store.
test('a start has a result once all tables were read', () => {
  const health = new StoreHealth()
  const results = (['orders', 'hosts', 'endpoints'] as const).map((table) => {
    health.recordSuccess(table, 0)
    return health.hasStartResult
  })
  expect(results).toEqual([false, false, true])
})

// Guards against a host that waits for a store that is known to be unreachable.
test('a start has a result once a call has failed', () => {
  const health = new StoreHealth()
  const before = health.hasStartResult
  health.recordFailure('orders')
  expect([before, health.hasStartResult]).toEqual([false, true])
})
