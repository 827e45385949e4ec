import * as fc from 'fast-check'
import { CatalogTable } from '../../src/catalog/CatalogTable.js'
import type { Heartbeat } from '../../src/peers/Heartbeat.js'
import { readHeartbeat } from '../../src/peers/readHeartbeat.js'
import { encodeFrame } from '../../src/wire/encodeFrame.js'
import { frameLimits } from '../../src/wire/frameLimits.js'
import { FrameReader } from '../../src/wire/FrameReader.js'
import { forwardedHost } from './forwardedHost.js'
import { forwardedPage } from './forwardedPage.js'
import { FuzzEdge } from './FuzzEdge.js'
import { FuzzTables } from './FuzzTables.js'
import { mostly } from './mostly.js'

const ages = { orders: -1, endpoints: -1, hosts: -1 }

const named = mostly(fc.constantFrom([], [['e-1', 3]], [['e-1', 1e300], ['stock', 0]]))
const heartbeat = fc.record({
  host: mostly(forwardedHost),
  isReady: mostly(fc.boolean()),
  isLeaving: mostly(fc.boolean()),
  storeAgeMs: mostly(fc.nat(10)),
  tableAges: mostly(fc.constant(ages)),
  isStoreSettled: mostly(fc.boolean()),
  versions: mostly(fc.constant(ages)),
  loads: named,
  breaks: named,
  rateLimits: mostly(fc.constantFrom([], [['e-1', 3, 0]], [['e-1', -1, 5], ['e-2', 1e300, 1e300]], [['e-1', -2, -1]])),
  backoffs: mostly(fc.constantFrom([], [['e-1', 0, 5]], [['e-1', 1e300, 1e300], ['e-2', 0, 1e300]], [['e-1', 0, -1]])),
  demands: named,
  localShares: named,
  pages: mostly(fc.array(mostly(fc.tuple(mostly(fc.constantFrom(...Object.values(CatalogTable))), mostly(forwardedPage))), { maxLength: 2 }))
})

/** A heartbeat in its frame, of which one byte may be changed. */
interface HeartbeatInput {
  readonly beat: unknown
  /** Place of the changed byte as a share of the frame; undefined for none. */
  readonly changedAt: number | undefined
}

/** Heartbeats of hosts of another release: each one is refused, or all that it leaves in the tables can be used. */
export class HeartbeatFuzzEdge extends FuzzEdge<HeartbeatInput> {
  override readonly name = 'heartbeats'
  override readonly inputs = fc.record({
    beat: mostly(heartbeat),
    changedAt: fc.option(fc.double({ min: 0, max: 0.999, noNaN: true }), { nil: undefined, freq: 3 })
  })

  override async check ({ beat, changedAt }: HeartbeatInput): Promise<void> {
    const frame = encodeFrame({ t: 'beat', beat })
    if (changedAt !== undefined) frame[Math.floor(changedAt * frame.length)]! ^= 1
    const reader = new FrameReader(frameLimits.maxBodyBytes)
    reader.push(frame)
    const message = reader.next()
    const read = message.isOk() && message.value !== undefined ? readHeartbeat(message.value.beat) : undefined
    if (read !== undefined) this.apply(read)
  }

  private apply (beat: Heartbeat): void {
    const tables = new FuzzTables()
    tables.peers.receive(beat, tables.nowMs)
    for (const [table, page] of beat.pages) tables.catalog.apply(table, page, tables.nowMs, beat.host.name)
    tables.check()
  }
}
