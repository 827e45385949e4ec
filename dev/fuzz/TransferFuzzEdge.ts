import * as fc from 'fast-check'
import { ok } from 'neverthrow'
import { Registry } from 'prom-client'
import { SilentLogger } from '../../platform/SilentLogger.js'
import type { CatalogPage } from '../../src/catalog/CatalogPage.js'
import { CatalogTable } from '../../src/catalog/CatalogTable.js'
import { SystemClock } from '../../src/common/SystemClock.js'
import type { Heartbeat } from '../../src/peers/Heartbeat.js'
import { pageCodec } from '../../src/peers/pageCodec.js'
import { PageServer } from '../../src/peers/PageServer.js'
import { PeerTraffic } from '../../src/peers/PeerTraffic.js'
import { TableFetcher } from '../../src/peers/TableFetcher.js'
import type { Message } from '../../src/wire/Message.js'
import { forwardedPage } from './forwardedPage.js'
import { FuzzEdge } from './FuzzEdge.js'
import { FuzzTables } from './FuzzTables.js'
import { mostly } from './mostly.js'
import { sleep } from './sleep.js'

/** A request for a table, the page that another host sends for one, and how it sends it. */
interface TransferInput {
  readonly request: Message
  readonly page: unknown
  /** Place of a changed byte as a share of the page; undefined for none. */
  readonly changedAt: number | undefined
  readonly partBytes: number
  readonly reply: Record<string, unknown>
}

/** Time in ms within which a transfer must end. */
const endMs = 1_000
const versions = { orders: 1_000_000, endpoints: 1_000_000, hosts: 1_000_000 }
const beat: Heartbeat = {
  host: { name: 'h-2', zone: 'north-a', region: 'north', callerAddress: '10.0.0.1:1', peerAddress: '10.0.0.1:2', linkMbps: 0, incarnation: 1 },
  isReady: true,
  isLeaving: false,
  storeAgeMs: 0,
  tableAges: versions,
  isStoreSettled: true,
  versions,
  eras: { orders: 9, endpoints: 9, hosts: 9 },
  loads: [],
  breaks: [],
  rateLimits: [],
  backoffs: [],
  demands: [],
  localShares: [],
  pages: []
}

/** Tables fetched from hosts of another release, and requests for them: a transfer ends, and what it leaves in the tables can be used and served. */
export class TransferFuzzEdge extends FuzzEdge<TransferInput> {
  override readonly name = 'transfers'
  override readonly inputs = fc.record({
    request: fc.record({ t: fc.constant('fetch'), table: mostly(fc.constantFrom(...Object.values(CatalogTable))), era: mostly(fc.nat(3)), version: mostly(fc.nat(9)), offset: mostly(fc.constant(0)), pageId: mostly(fc.string()) }),
    page: mostly(forwardedPage),
    changedAt: fc.option(fc.double({ min: 0, max: 0.999, noNaN: true }), { nil: undefined, freq: 3 }),
    partBytes: fc.integer({ min: 1, max: 200 }),
    reply: fc.oneof({ weight: 5, arbitrary: fc.constant({}) }, { weight: 1, arbitrary: fc.record({ totalBytes: mostly(fc.nat(50)), part: mostly(fc.constant(Buffer.alloc(0))) }) })
  })

  override async check (input: TransferInput): Promise<void> {
    const tables = new FuzzTables()
    const clock = new SystemClock()
    const traffic = new PeerTraffic(new Registry(), clock)
    tables.peers.receive(beat, tables.nowMs)
    let requests = 0
    const fetcher = new TableFetcher({
      region: 'north',
      catalog: tables.catalog,
      peers: tables.peers,
      clock,
      logger: new SilentLogger(),
      traffic,
      random: Math.random,
      isReader: () => false,
      request: async (_address, message) => {
        requests += 1
        return ok(createPart(input, Number(message.offset)))
      },
      onRejected: () => {},
      onFetched: () => {}
    })
    fetcher.run(clock.nowMs())
    const startMs = clock.nowMs()
    for (let before = -1; before !== requests; await sleep(1)) {
      before = requests
      if (clock.nowMs() - startMs > endMs) throw new Error('the transfer did not end')
    }
    tables.check()
    serveAll(new PageServer({ catalog: tables.catalog, clock, traffic, getLinkMbps: () => 0 }), input.request)
  }
}

function createPart ({ page, changedAt, partBytes, reply }: TransferInput, offset: number): Message {
  const bytes = pageCodec.encode(page as CatalogPage)
  if (changedAt !== undefined) bytes[Math.floor(changedAt * bytes.length)]! ^= 1
  return { t: 'page', pageId: 'p', totalBytes: bytes.length, part: bytes.subarray(offset, offset + partBytes), ...reply }
}

/** Serves the input and a sound request for each table. */
function serveAll (server: PageServer, request: Message): void {
  server.serve(request)
  for (const table of Object.values(CatalogTable)) {
    if (server.serve({ t: 'fetch', table, era: 0, version: -1 })?.part === undefined) throw new Error(`table ${table} is not served`)
  }
}
