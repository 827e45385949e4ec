import { test } from 'node:test'
import { expect } from 'earl'
import { DialMap } from '../../src/common/DialMap.js'
import { HttpHostList } from '../../src/platform/HttpHostList.js'
import { HttpObjectStore } from '../../src/platform/HttpObjectStore.js'
import { HttpTableService } from '../../src/platform/HttpTableService.js'
import { PlatformHttp } from '../../src/platform/PlatformHttp.js'
import { FakePlatform } from './FakePlatform.js'

const address = '127.20.2.1'

// The URL names an address that nothing listens on, so calls that bypass the dial map fail.
async function start (port: number): Promise<{ platform: FakePlatform, http: PlatformHttp, stop: () => Promise<void> }> {
  const platform = new FakePlatform()
  await platform.listen(address, port)
  const http = new PlatformHttp({ url: 'http://127.20.2.99:1', timeoutMs: 200, dial: new DialMap({ '127.20.2.99:1': `${address}:${port}` }) })
  return {
    platform,
    http,
    stop: async () => {
      http.close()
      await platform.close()
    }
  }
}

// Guards against wrong paths, bodies or answers in the platform's protocol.
test('rows, transactions, objects and the host list go both ways', async () => {
  const { platform, http, stop } = await start(18_001)
  const table = new HttpTableService(http)
  const objects = new HttpObjectStore(http)
  expect((await table.read('config/head'))._unsafeUnwrap()).toEqual(undefined)
  expect((await table.write({ row: 'config/head', ifVersion: 0, value: { a: 1 } }))._unsafeUnwrap()).toEqual({ written: true, version: 1 })
  expect((await table.write({ row: 'config/head', ifVersion: 0, value: 2 }))._unsafeUnwrap()).toEqual({ written: false, version: 1, value: { a: 1 } })
  expect((await table.transact([{ row: 'config/head', ifVersion: 1, value: 3 }, { row: 'x', ifVersion: 0, value: 4 }]))._unsafeUnwrap()).toEqual({ written: true, version: 2 })
  expect((await table.read('x'))._unsafeUnwrap()).toEqual({ version: 1, value: 4 })
  expect((await objects.write('config/1-w', Buffer.from('doc'))).isOk()).toEqual(true)
  expect((await objects.read('config/1-w'))._unsafeUnwrap()?.toString()).toEqual('doc')
  expect((await objects.read('config/2-w'))._unsafeUnwrap()).toEqual(undefined)
  platform.hosts = [{ name: 'stock-1', kind: 'upstream', state: 'leaving' }]
  expect((await new HttpHostList(http).read())._unsafeUnwrap()).toEqual(platform.hosts)
  await stop()
})

// Guards against a write that may have taken effect and is called not-run, or the other way round.
test('failures say whether the write can have taken effect', async () => {
  const { platform, http, stop } = await start(18_002)
  const table = new HttpTableService(http)
  const write = async (): Promise<string> => (await table.write({ row: 'r', ifVersion: 0, value: 1 }))._unsafeUnwrapErr().outcome
  const outcomes: Record<string, string> = {}
  platform.loseReplies = 1
  outcomes.lost = await write()
  platform.intercept = () => true
  outcomes.silent = await write()
  platform.intercept = (_, res) => { res.writeHead(500).end(); return true }
  outcomes.serverError = await write()
  platform.intercept = (_, res) => { res.writeHead(200).end('{"version":'); return true }
  outcomes.garbled = await write()
  platform.intercept = (_, res) => { res.writeHead(413).end(); return true }
  outcomes.rejected = await write()
  await platform.close()
  http.close()
  const closed = new HttpTableService(new PlatformHttp({ url: `http://${address}:18002`, timeoutMs: 200, dial: new DialMap() }))
  outcomes.refused = (await closed.write({ row: 'r', ifVersion: 0, value: 1 }))._unsafeUnwrapErr().outcome
  expect(outcomes).toEqual({ lost: 'unknown', silent: 'unknown', serverError: 'unknown', garbled: 'unknown', rejected: 'not-run', refused: 'not-run' })
  await stop().catch(() => undefined)
})

// Guards against an answer that fills the agent's memory or never ends.
test('an endless answer is cut off', async () => {
  const { platform, http, stop } = await start(18_003)
  let written = 0
  platform.intercept = (_, res) => {
    const chunk = Buffer.alloc(1_048_576)
    const pump = (): void => {
      while (!res.destroyed && res.write(chunk)) written += 1
      if (!res.destroyed) res.once('drain', pump)
    }
    res.writeHead(200)
    pump()
    return true
  }
  const failure = (await new HttpObjectStore(http).read('x'))._unsafeUnwrapErr()
  expect(failure.name).toEqual('platformUnavailable')
  expect(written < 64).toEqual(true)
  await stop()
})
