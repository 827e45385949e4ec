import { test } from 'node:test'
import { expect } from 'earl'
import { StoreServer } from '../../dev/store/StoreServer.js'
import { HttpCatalogStore } from '../../platform/HttpCatalogStore.js'
import { decodeRow } from '../../platform/decodeRow.js'
import { Catalog } from '../../src/catalog/Catalog.js'
import { createRejectedInput } from '../support/createRejectedInput.js'

const rowCount = 1_200

/** Runs a test with a store that holds more endpoints than fit into one page. */
async function withLargeTable (run: (store: StoreServer, client: HttpCatalogStore) => Promise<void>): Promise<void> {
  const store = new StoreServer()
  const client = new HttpCatalogStore(await store.listen(), createRejectedInput())
  for (let index = 0; index < rowCount; index++) putEndpoint(store, index, 'ready')
  try {
    await run(store, client)
  } finally {
    client.close()
    store.close()
  }
}

function putEndpoint (store: StoreServer, index: number, state: string): void {
  const address = `10.0.${index >> 8}.${index & 255}:80`
  const info = { service: 'stock', version: 'v1', zone: 'north-a', slots: 4 }
  store.tables.put('servers', `e-${String(index).padStart(4, '0')}`, { born: 1, address, info, status: { state, sequence: 1, cold_remaining_s: 0 } })
}

// Guards against a change of an earlier page's row that is lost because a later page has a newer version.
test('a change between two pages of a full read is not lost', async () => {
  await withLargeTable(async (store, client) => {
    let reads = 0
    store.intercept = (req) => {
      if (req.url?.startsWith('/v1/rows-get') === true && ++reads === 2) putEndpoint(store, 0, 'draining')
      return false
    }
    const catalog = new Catalog(() => {})
    catalog.apply('endpoints', (await client.read('endpoints'))._unsafeUnwrap(), 0, 'store')
    catalog.apply('endpoints', (await client.check('endpoints', catalog.resumeAfter('endpoints').version))._unsafeUnwrap(), 1, 'store')
    const endpoints = catalog.entries('endpoints').flatMap((entry) => entry.kind === 'endpoint' ? [entry.endpoint] : [])
    expect([reads, endpoints.length, endpoints.filter(({ isDraining }) => isDraining).map(({ id }) => id)]).toEqual([3, rowCount, ['e-0000']])
  })
})

// Guards against rows of other parts that count as entries: an endpoint that left comes back, one that is there goes (review/12, DRAIN).
test('changes in another part of a table change nothing', async () => {
  await withLargeTable(async (store, client) => {
    const catalog = new Catalog(() => {})
    catalog.apply('endpoints', (await client.read('endpoints'))._unsafeUnwrap(), 0, 'store')
    const copy = store.tables.get('servers', 'e-0000')!.value!
    store.tables.remove('servers', 'e-0000')
    store.tables.apply({ puts: [{ table: 'servers', part: 'archive', key: 'e-0000', value: copy }], remove: [{ table: 'servers', part: 'archive', key: 'e-0001' }] })
    catalog.apply('endpoints', (await client.check('endpoints', catalog.resumeAfter('endpoints').version))._unsafeUnwrap(), 1, 'store')
    const ids = catalog.entries('endpoints').flatMap((entry) => entry.kind === 'endpoint' ? [entry.endpoint.id] : [])
    expect([ids.length, ids.includes('e-0000'), ids.includes('e-0001')]).toEqual([rowCount - 1, false, true])
    expect(catalog.resumeAfter('endpoints').version).toEqual(store.tables.latestVersion)
  })
})

// Guards against a configuration that is staged in another part and comes into force, after which lower versions are ignored.
test('orders in another part of the table are no orders', async () => {
  const rejected = createRejectedInput()
  for (const key of ['config', 'evacuate/north-a']) expect(decodeRow('orders', { part: 'staged', key, ver: 3, value: 'e30=' }, rejected)).toEqual(undefined)
  expect(decodeRow('orders', { part: '', key: 'evacuate/north-a', ver: 3, value: 'e30=' }, rejected)?.entry).toEqual({ kind: 'evacuation', zone: 'north-a' })
})

// Guards against a table that is taken as complete although a page of it could not be read.
test('a page without a readable row fails the read', async () => {
  await withLargeTable(async (store, client) => {
    store.intercept = (_req, res) => {
      res.end(JSON.stringify({ rows: [{ value: 'x' }], has_more: true, ver: 1 }))
      return true
    }
    expect((await client.read('endpoints'))._unsafeUnwrapErr().kind).toEqual('unavailable')
  })
})

// Guards against a read without end, which fills the memory, when the store repeats a page.
test('a page of earlier rows fails the read', async () => {
  await withLargeTable(async (store, client) => {
    let calls = 0
    store.intercept = (_req, res) => {
      calls += 1
      res.end(JSON.stringify({ rows: [{ key: 'e-1', ver: 1 }], has_more: calls < 100, ver: 1 }))
      return true
    }
    expect([(await client.read('endpoints')).isErr(), calls]).toEqual([true, 2])
  })
})

// Guards against a table put together from two histories of the store: rows of the second page may contradict the first.
test('a restore of the store between two pages fails the read', async () => {
  await withLargeTable(async (store, client) => {
    const copy = store.tables.copy()
    let reads = 0
    store.intercept = () => {
      if (++reads === 2) store.tables.restore(copy)
      return false
    }
    expect((await client.read('endpoints'))._unsafeUnwrapErr().kind).toEqual('historyGone')
  })
})

// Guards against rows whose era is not known, which can't be ordered against those of another one.
test('a response with an invalid era fails the call', async () => {
  await withLargeTable(async (store, client) => {
    store.intercept = (_req, res) => {
      res.setHeader('Store-Era', '2, 3').end(JSON.stringify({ rows: [], ver: 1 }))
      return true
    }
    expect((await client.read('endpoints'))._unsafeUnwrapErr().kind).toEqual('unavailable')
  })
})

// Guards against a table that is never read again because one call to the store never ended.
test('a response that switches protocols fails the call', async () => {
  const store = new StoreServer()
  const client = new HttpCatalogStore(await store.listen(), createRejectedInput())
  store.intercept = (req) => {
    req.socket.write('HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n')
    return true
  }
  try {
    const failure = await Promise.race([client.read('orders'), new Promise<undefined>((resolve) => { setTimeout(() => resolve(undefined), 3_000) })])
    expect(failure?.isErr() === true && failure.error.kind).toEqual('disconnected')
  } finally {
    client.close()
    store.close()
  }
})
