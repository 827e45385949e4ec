import * as fc from 'fast-check'
import { SilentLogger } from '../../platform/SilentLogger.js'
import { CatalogTable } from '../../src/catalog/CatalogTable.js'
import { StoreHealth } from '../../src/catalog/StoreHealth.js'
import { parseDestination } from '../../src/common/parseDestination.js'
import { SystemClock } from '../../src/common/SystemClock.js'
import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import { ClusterState } from '../../src/host/ClusterState.js'
import type { Heartbeat } from '../../src/peers/Heartbeat.js'
import { PeerTable } from '../../src/peers/PeerTable.js'
import { readHeartbeat } from '../../src/peers/readHeartbeat.js'
import { RoutingTable } from '../../src/routing/RoutingTable.js'
import { WeightedPicker } from '../../src/routing/WeightedPicker.js'
import { encodeFrame } from '../../src/wire/encodeFrame.js'
import { frameLimits } from '../../src/wire/frameLimits.js'
import { FrameReader } from '../../src/wire/FrameReader.js'
import { checkEndpoint } from './checkEndpoint.js'
import { FuzzEdge } from './FuzzEdge.js'
import { mostly } from './mostly.js'

const drainMs = 2_500
const ages = { orders: -1, endpoints: -1, hosts: -1 }

const route = fc.record({
  name: mostly(fc.constant('r-1')),
  host: mostly(fc.constant('x')),
  prefix: mostly(fc.constant('/a/')),
  kind: mostly(fc.constantFrom('idempotent', 'once', 'upload')),
  parts: mostly(fc.array(fc.record({ service: mostly(fc.constant('stock')), weight: mostly(fc.nat(3)) }), { maxLength: 2 })),
  timeoutMs: mostly(fc.nat(5_000)),
  objectiveMs: mostly(fc.nat(5_000)),
  priority: mostly(fc.nat(3)),
  maxAttempts: mostly(fc.nat(3)),
  hasAffinity: mostly(fc.boolean()),
  regions: mostly(fc.constantFrom([], ['north']))
})
const limits = fc.constant({ headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 })
const config = fc.record({
  version: mostly(fc.nat(1_000_000)), routes: mostly(fc.array(mostly(route), { maxLength: 3 })), services: mostly(fc.constant([])), limits: mostly(limits)
})
const endpoint = fc.record({
  id: mostly(fc.constantFrom('e-1', 'e-2')),
  address: mostly(fc.constant('10.0.0.1:80')),
  service: mostly(fc.constant('stock')),
  zone: mostly(fc.constant('north-a')),
  slots: mostly(fc.nat(5)),
  isDraining: mostly(fc.boolean()),
  coldMs: mostly(fc.nat(10)),
  bornAtMs: mostly(fc.nat(10))
})
const host = fc.record({
  name: mostly(fc.constant('h-2')),
  zone: mostly(fc.constant('north-a')),
  region: mostly(fc.constant('north')),
  callerAddress: mostly(fc.constant('10.0.0.1:1')),
  peerAddress: mostly(fc.constant('10.0.0.1:2')),
  linkMbps: mostly(fc.nat(10)),
  incarnation: mostly(fc.nat(10))
})
const entry = fc.oneof(
  fc.record({ kind: mostly(fc.constant('routing')), config: mostly(config) }),
  fc.record({ kind: mostly(fc.constant('evacuation')), zone: mostly(fc.constant('north-a')) }),
  fc.record({ kind: mostly(fc.constant('endpoint')), endpoint: mostly(endpoint) }),
  fc.record({ kind: mostly(fc.constant('host')), host: mostly(host) })
)
const version = fc.nat(1_000_000)
const row = fc.record({ key: mostly(fc.constantFrom('a', 'b')), version: mostly(version), entry: mostly(entry) })
const rows = mostly(fc.array(mostly(row), { maxLength: 3 }))
const retained = fc.option(fc.record({ remainingMs: mostly(fc.nat(5_000)), rows }), { nil: undefined })
const page = fc.record({ era: mostly(fc.nat(3)), version: mostly(version), after: mostly(version), rows, retained: mostly(retained) })
const named = mostly(fc.constantFrom([], [['e-1', 3]], [['e-1', 1e300], ['stock', 0]]))
const heartbeat = fc.record({
  host: mostly(host),
  isReady: mostly(fc.boolean()),
  isLeaving: mostly(fc.boolean()),
  storeAgeMs: mostly(fc.nat(10)),
  tableAges: mostly(fc.constant(ages)),
  isStoreSettled: mostly(fc.boolean()),
  versions: mostly(fc.constant(ages)),
  loads: named,
  breaks: named,
  rateLimits: mostly(fc.constantFrom([], [['e-1', 3, 0]], [['e-1', -1, 5], ['e-2', 1e300, 1e300]], [['e-1', -2, -1]])),
  demands: named,
  localShares: named,
  pages: mostly(fc.array(mostly(fc.tuple(mostly(fc.constantFrom(...Object.values(CatalogTable))), mostly(page))), { maxLength: 2 }))
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

  private readonly clock = new SystemClock()

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
    const routing = new RoutingTable()
    const endpoints = new EndpointTable(() => 'north', () => drainMs)
    const peers = new PeerTable('h-1')
    const { catalog } = new ClusterState({
      routing,
      endpoints,
      peers,
      health: new StoreHealth(),
      clock: this.clock,
      logger: new SilentLogger(),
      onConfigApplied: () => {},
      confirmSettled: () => true,
      onStoreChange: () => {}
    })
    const nowMs = this.clock.nowMs()
    peers.receive(beat, nowMs)
    for (const [table, page] of beat.pages) catalog.apply(table, page, nowMs, beat.host.name)
    checkRoutes(routing)
    for (const row of endpoints) checkEndpoint(row.record)
    for (const row of peers) {
      parseDestination(row.record.peerAddress)
      for (const [, perSecond, ageMs] of row.rateLimits) if (!(perSecond >= -1 && ageMs >= 0)) throw new Error(`a host reports a limit of ${perSecond} from ${ageMs} ms ago`)
    }
    for (const sum of [...peers.sumLoads(nowMs).values()]) if (!Number.isFinite(sum)) throw new Error(`a host has ${sum} requests in flight`)
  }
}

/** Uses each route as a request does. */
function checkRoutes (routing: RoutingTable): void {
  const picker = new WeightedPicker()
  for (const { host: name, prefix } of routing.config?.routes ?? []) {
    const found = routing.find(name, `${prefix}1`)
    if (found === undefined || typeof picker.pick(found) !== 'string') throw new Error('a route names no service')
    if (found.regions.includes('nowhere') || !(found.timeoutMs >= 0)) throw new Error('a route has no limits')
  }
}
