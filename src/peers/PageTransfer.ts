import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import * as z from 'zod/mini'
import type { CatalogTable } from '../catalog/CatalogTable.js'
import type { StorePosition } from '../catalog/StorePosition.js'
import type { Clock } from '../common/Clock.js'
import type { Failure } from '../common/Failure.js'
import { GrowingBuffer } from '../common/GrowingBuffer.js'
import { sleep } from '../common/sleep.js'
import type { Message } from '../wire/Message.js'
import type { FetchFailure } from './FetchFailure.js'
import { peerLimits } from './peerLimits.js'
import { PeerMessage } from './PeerMessage.js'
import type { PeerTraffic } from './PeerTraffic.js'

/** Dependencies of the transfers. */
interface PageTransferOptions {
  readonly clock: Clock
  readonly traffic: PeerTraffic
  readonly request: (address: string, message: Message, timeoutMs: number) => Promise<Result<Message, Failure>>
}

const partSchema = z.object({ pageId: z.string(), totalBytes: z.int().check(z.gte(1), z.lte(peerLimits.maxPageBytes)), part: z.instanceof(Uint8Array) })
const busySchema = z.object({ waitMs: z.number().check(z.gte(0)) })

type PagePart = z.infer<typeof partSchema>

/** Receives pages from other hosts part by part. */
export class PageTransfer {
  constructor (private readonly options: PageTransferOptions) {}

  /**
   * Returns the encoded page with what a host has of a table after a position. A busy host is waited for only once a part has arrived,
   * and no longer than for a reply, since another host may serve the page meanwhile.
   */
  async transfer (address: string, table: CatalogTable, position: StorePosition): Promise<Result<Buffer, FetchFailure>> {
    const received = new GrowingBuffer()
    const { clock } = this.options
    let pageId: string | undefined
    let lastPartAtMs = clock.nowMs()
    for (;;) {
      const part = await this.requestPart(address, { t: PeerMessage.fetch, table, ...position, offset: received.length, ...(pageId === undefined ? {} : { pageId }) })
      if (part.isErr()) {
        if (pageId === undefined || part.error.kind !== 'busy' || clock.nowMs() + part.error.waitMs - lastPartAtMs > peerLimits.fetchTimeoutMs) return err(part.error)
        await sleep(part.error.waitMs)
        continue
      }
      const { totalBytes, part: bytes } = part.value
      if (bytes.length === 0 || received.length + bytes.length > totalBytes) return err({ kind: 'unreadable' })
      pageId = part.value.pageId
      lastPartAtMs = clock.nowMs()
      received.append(Buffer.from(bytes))
      if (received.length === totalBytes) return ok(received.take())
    }
  }

  private async requestPart (address: string, message: Message): Promise<Result<PagePart, FetchFailure>> {
    const { clock, traffic, request } = this.options
    const startMs = clock.nowMs()
    const reply = await request(address, message, peerLimits.fetchTimeoutMs)
    if (reply.isErr()) {
      traffic.recordFailure(PeerMessage.fetch, reply.error.name)
      return err({ kind: 'failed' })
    }
    traffic.recordReply(PeerMessage.fetch, clock.nowMs() - startMs)
    const part = partSchema.safeParse(reply.value)
    if (part.success) return ok(part.data)
    const busy = busySchema.safeParse(reply.value)
    return err(busy.success ? { kind: 'busy', waitMs: busy.data.waitMs } : { kind: 'failed' })
  }
}
