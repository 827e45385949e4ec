import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import * as fc from 'fast-check'
import { Registry } from 'prom-client'
import { HttpCatalogStore } from '../../platform/HttpCatalogStore.js'
import { SilentLogger } from '../../platform/SilentLogger.js'
import { wireNames } from '../../platform/wireNames.js'
import { Catalog } from '../../src/catalog/Catalog.js'
import { CatalogTable } from '../../src/catalog/CatalogTable.js'
import { noPosition } from '../../src/catalog/noPosition.js'
import { SystemClock } from '../../src/common/SystemClock.js'
import { RejectedInput } from '../../src/metrics/RejectedInput.js'
import { FuzzEdge } from './FuzzEdge.js'
import { mostly } from './mostly.js'
import { mutateText } from './mutateText.js'
import { sleep } from './sleep.js'

/** Responses of the store to a full read and to a call for changes after it, and the table that is read. */
interface PageInput {
  readonly table: CatalogTable
  readonly status: number
  readonly full: string
  readonly changes: string
}

const okStatus = 200
/** Time in ms within which a read must end. */
const endMs = 2_000
const value = mostly(fc.constantFrom('{}', '[]', '{"version":"0000000c","routes":{},"services":{},"limits":{}}', 'x').map((text) => Buffer.from(text).toString('base64')))
const row = fc.record({ table: fc.constant('op'), key: mostly(fc.constantFrom('a', 'config', 'evacuate/north-a')), value, ver: mostly(fc.nat(100)), tombstone: mostly(fc.boolean()) })
const page = fc.record({ rows: mostly(fc.array(mostly(row), { maxLength: 4 })), has_more: mostly(fc.constant(false)), ver: mostly(fc.nat(100)), now_s: mostly(fc.nat(100)) })
const text = mutateText(page.map((each) => JSON.stringify(each)))

/** Pages of the store: a call fails, or its rows can be copied and forwarded, and versions only increase. */
export class PageFuzzEdge extends FuzzEdge<PageInput> {
  override readonly name = 'pages'
  override readonly inputs = fc.record({
    table: fc.constantFrom(...Object.values(CatalogTable)),
    status: fc.oneof({ weight: 9, arbitrary: fc.constant(okStatus) }, { weight: 1, arbitrary: fc.constantFrom(204, 302, 410, 429, 503) }),
    full: text,
    changes: text
  })

  private current: PageInput | undefined
  private server!: Server
  private store!: HttpCatalogStore

  override async open (): Promise<void> {
    this.server = createServer((req, res) => {
      const { status, full, changes } = this.current!
      res.writeHead(status, { 'Content-Type': 'application/json' }).end(req.url?.startsWith(wireNames.paths.read) === true ? full : changes)
    })
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve))
    const rejected = new RejectedInput({ registry: new Registry(), clock: new SystemClock(), logger: new SilentLogger() })
    this.store = new HttpCatalogStore(`127.0.0.1:${(this.server.address() as AddressInfo).port}`, rejected)
  }

  override async check (input: PageInput): Promise<void> {
    this.current = input
    const { table } = input
    const catalog = new Catalog(() => {})
    const full = await Promise.race([this.store.read(table), sleep(endMs)])
    if (full === undefined) throw new Error('the read did not end')
    if (full.isErr()) return
    catalog.apply(table, full.value, 0, 'store')
    const before = catalog.versionOf(table)
    const changes = await this.store.follow(table, catalog.resumeAfter(table).version, 0, new AbortController().signal)
    if (changes.isOk()) catalog.apply(table, changes.value, 1, 'store')
    if (!(catalog.versionOf(table) >= before)) throw new Error(`the version fell from ${before} to ${catalog.versionOf(table)}`)
    const forwarded = new Catalog(() => {})
    forwarded.apply(table, catalog.exportSince(table, noPosition, 2), 2, 'peer')
    if (forwarded.entries(table).length !== catalog.entries(table).length) throw new Error('a forwarded table has other entries')
  }

  override async close (): Promise<void> {
    this.store.close()
    this.server.close()
    this.server.closeAllConnections()
  }
}
