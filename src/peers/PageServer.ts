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

/** Pages of one position of a table, by the position that they follow. */
interface CachedPages {
  readonly position: StorePosition
  readonly pages: Map<string, Buffer>
}

const bytesPerMbit = 125_000

const fetchSchema = z.object({ table: z.enum(CatalogTable), era: z.number(), version: z.number() })

/**
 * Serves the tables of this host to others, in at most a share of its link: requests of callers, and the heartbeats by which hosts
 * know each other to be alive, need the rest. Above that a host is told when to ask again, and asks another one meanwhile.
 */
export class PageServer {
  private readonly budget: ByteBudget
  private readonly cache = new Map<CatalogTable, CachedPages>()

  constructor (private readonly options: PageServerOptions) {
    this.budget = new ByteBudget({ getBytesPerSecond: () => this.readBytesPerSecond(), burstMs: peerLimits.pageBurstMs })
  }

  /** Returns the reply to a request for a table; undefined when the request has another shape. */
  serve (message: Message): Message | undefined {
    const request = fetchSchema.safeParse(message)
    if (!request.success) return undefined
    const { table, era, version } = request.data
    const waitMs = this.budget.getWaitMs(this.options.clock.nowMs())
    if (waitMs > 0) return { t: PeerMessage.page, table, waitMs }
    const page = this.encode(table, { era, version })
    this.budget.spend(page.length)
    return { t: PeerMessage.page, table, page }
  }

  /** Hosts that lack the same changes get the same bytes. */
  private encode (table: CatalogTable, after: StorePosition): Buffer {
    const { catalog, clock } = this.options
    const page = catalog.exportSince(table, after, clock.nowMs())
    this.options.traffic.recordPage(table, page.after === undefined ? 'whole' : 'changes', page.rows.length)
    // What was retained has its time left in the page.
    if (page.retained !== undefined) return pageCodec.encode(page)
    const pages = this.ensureCache(table, page)
    const key = `${page.after ?? ''}`
    const bytes = pages.get(key) ?? pageCodec.encode(page)
    if (pages.size < peerLimits.maxCachedPages) pages.set(key, bytes)
    return bytes
  }

  private ensureCache (table: CatalogTable, { era, version }: CatalogPage): Map<string, Buffer> {
    const cached = this.cache.get(table)
    if (cached?.position.era === era && cached.position.version === version) return cached.pages
    const pages = new Map<string, Buffer>()
    this.cache.set(table, { position: { era, version }, pages })
    return pages
  }

  private readBytesPerSecond (): number {
    const mbps = this.options.getLinkMbps()
    return mbps === 0 ? Infinity : mbps * bytesPerMbit * peerLimits.pageLinkShare
  }
}
