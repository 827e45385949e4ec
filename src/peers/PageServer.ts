import * as z from 'zod/mini'
import type { Catalog } from '../catalog/Catalog.js'
import type { CatalogPage } from '../catalog/CatalogPage.js'
import { CatalogTable } from '../catalog/CatalogTable.js'
import type { StorePosition } from '../catalog/StorePosition.js'
import type { Clock } from '../common/Clock.js'
import type { Message } from '../wire/Message.js'
import { ByteBudget } from './ByteBudget.js'
import { pageCodec } from './pageCodec.js'
import { peerLimits } from './peerLimits.js'
import { PeerMessage } from './PeerMessage.js'
import type { PeerTraffic } from './PeerTraffic.js'

/** Dependencies of the responses. */
interface PageServerOptions {
  readonly catalog: Catalog
  readonly clock: Clock
  readonly traffic: PeerTraffic
  /** Returns the bandwidth of this host's link in Mbit/s; 0 when unknown. */
  readonly getLinkMbps: () => number
}

/** A page as it is sent; `id` tells pages of a table apart. */
interface EncodedPage {
  readonly id: string
  readonly bytes: Buffer
}

const bytesPerMbit = 125_000
const msPerSecond = 1_000

const fetchSchema = z.object({
  table: z.enum(CatalogTable),
  era: z.number(),
  version: z.number(),
  offset: z._default(z.int().check(z.gte(0)), 0),
  pageId: z.optional(z.string())
})

/**
 * Serves the tables of this host to others, in at most a share of its link: requests of callers, and the heartbeats by which hosts
 * know each other to be alive, need the rest. Above that a host is told when to ask again, and asks another one meanwhile. A page is
 * sent in parts, between which heartbeats pass on the same connection.
 */
export class PageServer {
  private readonly budget: ByteBudget
  /** Latest pages of each table by id, oldest first. */
  private readonly cache = new Map(Object.values(CatalogTable).map((table) => [table, new Map<string, EncodedPage>()]))

  constructor (private readonly options: PageServerOptions) {
    this.budget = new ByteBudget({ getBytesPerSecond: () => this.readBytesPerSecond(), burstMs: peerLimits.pageBurstMs })
  }

  /** Returns the reply to a request for a part of a table; undefined when the request has another shape. */
  serve (message: Message): Message | undefined {
    const request = fetchSchema.safeParse(message)
    if (!request.success) return undefined
    const { table, era, version, offset, pageId } = request.data
    const waitMs = this.budget.getWaitMs(this.options.clock.nowMs())
    if (waitMs > 0) return { t: PeerMessage.page, table, waitMs }
    const page = offset === 0 ? this.encode(table, { era, version }) : this.findPage(table, pageId)
    // Other pages have been made since the first part was sent.
    if (page === undefined) return { t: PeerMessage.page, table }
    const part = page.bytes.subarray(offset, offset + peerLimits.pagePartBytes)
    this.budget.spend(part.length)
    return { t: PeerMessage.page, table, pageId: page.id, totalBytes: page.bytes.length, part }
  }

  /** Hosts that lack the same changes get the same bytes. */
  private encode (table: CatalogTable, after: StorePosition): EncodedPage {
    const { catalog, clock } = this.options
    const nowMs = clock.nowMs()
    const page = catalog.exportSince(table, after, nowMs)
    this.options.traffic.recordPage(table, page.after === undefined ? 'whole' : 'changes', page.rows.length)
    const pages = this.cache.get(table)!
    const id = createPageId(page, nowMs)
    const encoded = pages.get(id) ?? { id, bytes: pageCodec.encode(page) }
    pages.set(id, encoded)
    if (pages.size > peerLimits.maxCachedPages) pages.delete(pages.keys().next().value!)
    return encoded
  }

  private findPage (table: CatalogTable, id: string | undefined): EncodedPage | undefined {
    return id === undefined ? undefined : this.cache.get(table)!.get(id)
  }

  private readBytesPerSecond (): number {
    const mbps = this.options.getLinkMbps()
    return mbps === 0 ? Infinity : mbps * bytesPerMbit * peerLimits.pageLinkShare
  }
}

/** What was retained after a restore has its time left in the page, so such a page is made anew each second. */
function createPageId ({ era, version, after, retained }: CatalogPage, nowMs: number): string {
  const second = retained === undefined ? '' : Math.floor(nowMs / msPerSecond)
  return `${era}.${version}.${after ?? ''}.${second}`
}
