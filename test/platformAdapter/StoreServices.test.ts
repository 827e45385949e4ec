import { test } from 'node:test'
import { expect } from 'earl'
import { StoreServer } from '../../dev/store/StoreServer.js'
import { createStoreServices } from '../../platform/createStoreServices.js'
import { StoreHttpClient } from '../../platform/StoreHttpClient.js'
import { StoreTableService } from '../../platform/StoreTableService.js'

const address = '127.20.2.1'
const timeoutMs = 200

// The URL names an address that nothing listens on, so calls that bypass the dial map fail.
async function withStore (run: (store: StoreServer, services: ReturnType<typeof createStoreServices>) => Promise<void>): Promise<void> {
  const store = new StoreServer()
  const listening = await store.listen(address)
  const services = createStoreServices({ platform: { url: 'http://127.20.2.99:1', timeoutMs }, dial: { '127.20.2.99:1': listening } })
  try {
    await run(store, services)
  } finally {
    store.close()
  }
}

// Guards against wrong paths, bodies or decoding in the store's protocol.
test('rows, transactions, objects and the registry are written and read back', async () => {
  await withStore(async (store, { table, objects, hosts }) => {
    expect((await table.read('config/head'))._unsafeUnwrap()).toEqual(undefined)
    expect((await table.write({ row: 'config/head', ifVersion: 0, value: { a: 1 } }))._unsafeUnwrap()).toEqual({ written: true, version: 1 })
    expect((await table.write({ row: 'config/head', ifVersion: 0, value: 2 }))._unsafeUnwrap()).toEqual({ written: false, version: 1, value: { a: 1 } })
    expect((await table.transact([{ row: 'config/head', ifVersion: 1, value: 3 }, { row: 'x', ifVersion: 0, value: 4 }]))._unsafeUnwrap()).toEqual({ written: true, version: 2 })
    expect((await table.read('x'))._unsafeUnwrap()).toEqual({ version: 2, value: 4 })
    expect((await table.transact([{ row: 'x', ifVersion: 2, value: 5 }, { row: 'gone', ifVersion: 9, value: 5 }]))._unsafeUnwrap()).toEqual({ written: false, version: 0, value: null })
    expect((await objects.write('config/1-w', Buffer.from('doc'))).isOk()).toEqual(true)
    expect((await objects.read('config/1-w'))._unsafeUnwrap()?.toString()).toEqual('doc')
    expect((await objects.read('config/2-w'))._unsafeUnwrap()).toEqual(undefined)
    store.tables.put('servers', 'stock-1', { status: { state: 'draining' } })
    store.tables.put('servers', 'stock-2', { status: { state: 'ready' } })
    store.tables.put('servers', 'wrong', 'no JSON')
    expect((await hosts.read())._unsafeUnwrap()).toEqual([{ name: 'stock-1', kind: 'upstream', state: 'leaving' }, { name: 'stock-2', kind: 'upstream', state: 'live' }])
  })
})

// Guards against an object write whose response was lost and whose retries then always fail because the object exists.
test('an object that an earlier attempt wrote counts as written', async () => {
  await withStore(async (store, { objects }) => {
    Object.assign(store.faults, { losesWriteAnswers: true, lostAnswers: 1 })
    expect((await objects.write('config/1-w', Buffer.from('doc')))._unsafeUnwrapErr().outcome).toEqual('unknown')
    expect((await objects.write('config/1-w', Buffer.from('doc'))).isOk()).toEqual(true)
    expect((await objects.write('config/1-w', Buffer.from('other'))).isErr()).toEqual(true)
  })
})

// Guards against reporting `not-run` for a write that may have taken effect, or `unknown` for one that cannot have.
test('the outcome of a failure tells whether the write may have taken effect', async () => {
  await withStore(async (store, { table }) => {
    const write = async (): Promise<string> => (await table.write({ row: 'r', ifVersion: 0, value: 1 }))._unsafeUnwrapErr().outcome
    const outcomes: Record<string, string> = {}
    Object.assign(store.faults, { losesWriteAnswers: true, lostAnswers: 1 })
    outcomes.lost = await write()
    store.intercept = () => true
    outcomes.silent = await write()
    store.intercept = (_, res) => { res.writeHead(500).end(); return true }
    outcomes.serverError = await write()
    store.intercept = (_, res) => { res.writeHead(200).end('{"ver":'); return true }
    outcomes.garbled = await write()
    store.intercept = (_, res) => { res.writeHead(413).end(); return true }
    outcomes.rejected = await write()
    const closed = new StoreTableService(new StoreHttpClient({ destination: { host: address, port: 1 }, timeoutMs }))
    outcomes.refused = (await closed.write({ row: 'r', ifVersion: 0, value: 1 }))._unsafeUnwrapErr().outcome
    expect(outcomes).toEqual({ lost: 'unknown', silent: 'unknown', serverError: 'unknown', garbled: 'unknown', rejected: 'not-run', refused: 'not-run' })
  })
})

// Guards against a store in trouble whose answer with status 000 counts as a write that succeeded, or as one that can't have taken effect.
test('a response without a usable status tells nothing of a write', async () => {
  await withStore(async (store, { table, objects }) => {
    for (const status of ['000', '099', '999']) {
      store.intercept = (_, res) => {
        res.socket!.end(`HTTP/1.1 ${status} X\r\nContent-Length: 2\r\n\r\n{}`)
        return true
      }
      const results = [await objects.write('config/1-w', Buffer.from('doc')), await table.write({ row: 'r', ifVersion: 0, value: 1 })]
      expect(results.map((result) => result.isErr() ? result.error.outcome : 'written')).toEqual(['unknown', 'unknown'])
    }
  })
})

// Guards against a response that exhausts the agent's memory or never ends.
test('an endless response is aborted', async () => {
  await withStore(async (store, { objects }) => {
    let written = 0
    store.intercept = (_, res) => {
      const chunk = Buffer.alloc(1_048_576)
      const pump = (): void => {
        while (!res.destroyed && res.write(chunk)) written += 1
        if (!res.destroyed) res.once('drain', pump)
      }
      res.writeHead(200)
      pump()
      return true
    }
    const failure = (await objects.read('x'))._unsafeUnwrapErr()
    expect(failure.name).toEqual('platformUnavailable')
    expect(written < 64).toEqual(true)
  })
})
