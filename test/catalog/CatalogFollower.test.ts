import { test } from 'node:test'
import { expect } from 'earl'
import { StoreServer } from '../../dev/store/StoreServer.js'
import { HttpCatalogStore } from '../../platform/HttpCatalogStore.js'
import type { CatalogTable } from '../../src/catalog/CatalogTable.js'
import { Catalog } from '../../src/catalog/Catalog.js'
import { catalogLimits } from '../../src/catalog/catalogLimits.js'
import { CatalogFollower } from '../../src/catalog/CatalogFollower.js'
import { StoreHealth } from '../../src/catalog/StoreHealth.js'
import { SystemClock } from '../../src/common/SystemClock.js'
import { createRejectedInput } from '../support/createRejectedInput.js'
import { FixedFreshness } from '../support/FixedFreshness.js'
import { MemoryLogger } from '../support/MemoryLogger.js'
import { waitUntil } from '../support/waitUntil.js'

async function withFollower (
  run: (store: StoreServer, catalog: Catalog, health: StoreHealth) => Promise<void>,
  table: CatalogTable = 'orders',
  onChange: () => void = () => {}
): Promise<void> {
  const store = new StoreServer()
  const logger = new MemoryLogger()
  const client = new HttpCatalogStore(await store.listen(), createRejectedInput(logger))
  const catalog = new Catalog(onChange)
  const health = new StoreHealth()
  const follower = new CatalogFollower(table, {
    store: client, catalog, health, clock: new SystemClock(), logger, random: () => 0.5, shouldRead: () => true, freshness: new FixedFreshness((each, nowMs) => health.tableAgeMs(each, nowMs)), getReaderPlace: () => ({ index: 0, count: 1 })
  })
  const running = follower.run()
  try {
    await run(store, catalog, health)
  } finally {
    follower.stop()
    client.close()
    store.close()
    await running
  }
}

// Guards against a change that is detected only by the next full read.
test('a change reaches the local copy', async () => {
  await withFollower(async (store, catalog) => {
    await waitUntil(() => catalog.versionOf('orders') >= 0)
    store.tables.put('op', 'evacuate/north-a', {})
    await waitUntil(() => catalog.entries('orders').length === 1)
  })
})

// Guards against a table that stays outdated after the store has discarded its history.
test('a full read follows after the store has discarded its history', async () => {
  await withFollower(async (store, catalog) => {
    await waitUntil(() => catalog.versionOf('orders') >= 0)
    store.faults.down = 'reset'
    store.tables.put('op', 'evacuate/north-a', {})
    store.tables.truncateHistory()
    await new Promise((resolve) => setTimeout(resolve, 100))
    store.faults.down = undefined
    await waitUntil(() => catalog.entries('orders').length === 1)
  })
})

// Guards against an outage that is not detected, or whose end is not detected.
test('the start and the end of an outage are detected', async () => {
  await withFollower(async (store, catalog, health) => {
    await waitUntil(() => catalog.versionOf('orders') >= 0)
    store.faults.down = 'reset'
    await waitUntil(() => health.isDown)
    store.faults.down = undefined
    await waitUntil(() => !health.isDown)
    expect(health.sinceRecoveryMs(performance.now()) < 5_000).toEqual(true)
  })
})

// Guards against one call per endpoint change: calls are billed, and each one wakes every reader.
test('changes in quick succession are batched', async () => {
  await withFollower(async (store, catalog) => {
    await waitUntil(() => catalog.versionOf('endpoints') >= 0)
    const before = store.calls.get('/v1/rows-feed') ?? 0
    const startMs = performance.now()
    let last = 0
    for (let index = 0; index < 40; index++) {
      last = store.tables.put('servers', `e-${index}`, {})
      await new Promise((resolve) => setTimeout(resolve, 10))
    }
    await waitUntil(() => catalog.versionOf('endpoints') >= last)
    const spanMs = performance.now() - startMs
    expect((store.calls.get('/v1/rows-feed') ?? 0) - before <= 2 + spanMs / catalogLimits.batchMs.endpoints).toEqual(true)
  }, 'endpoints')
})

// Guards against a host that gets no further changes because one of them could not be applied.
test('a table is followed further after an exception', async () => {
  let changes = 0
  await withFollower(async (store, catalog) => {
    await waitUntil(() => changes === 1)
    store.tables.put('op', 'evacuate/north-a', {})
    await waitUntil(() => catalog.entries('orders').length === 1)
  }, 'orders', () => {
    changes += 1
    throw new Error('planted')
  })
})

// Guards against hundreds of calls a second to a store that has none of the versions it is asked for.
test('full reads that change nothing are made with a pause', async () => {
  await withFollower(async (store, catalog) => {
    await waitUntil(() => catalog.versionOf('orders') >= 0)
    store.intercept = (req, res) => {
      if (req.url?.startsWith('/v1/rows-feed') !== true) return false
      res.writeHead(410).end('{}')
      return true
    }
    store.tables.put('op', 'evacuate/north-a', {})
    const before = store.calls.get('/v1/rows-get') ?? 0
    await new Promise((resolve) => setTimeout(resolve, 2_000))
    // A read at once, then pauses of 150, 300, 600 and 1,000 ms.
    expect([catalog.entries('orders').length, (store.calls.get('/v1/rows-get') ?? 0) - before <= 5]).toEqual([1, true])
  })
})
