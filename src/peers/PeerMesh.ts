import type { Clock } from '../common/Clock.js'
import type { DialMap } from '../common/DialMap.js'
import { InputEdge } from '../common/InputEdge.js'
import type { Logger } from '../common/Logger.js'
import type { RejectedInput } from '../metrics/RejectedInput.js'
import { parseDestination } from '../common/parseDestination.js'
import { FrameClient } from '../wire/FrameClient.js'
import { FrameServer } from '../wire/FrameServer.js'
import type { Message } from '../wire/Message.js'
import type { Catalog } from '../catalog/Catalog.js'
import type { CatalogPage } from '../catalog/CatalogPage.js'
import { CatalogTable } from '../catalog/CatalogTable.js'
import { comparePositions } from '../catalog/comparePositions.js'
import type { StorePosition } from '../catalog/StorePosition.js'
import { readHeartbeat } from './readHeartbeat.js'
import { peerLimits } from './peerLimits.js'
import type { Heartbeat } from './Heartbeat.js'
import type { HostRecord } from './HostRecord.js'
import type { PeerRow } from './PeerRow.js'
import type { PeerTable } from './PeerTable.js'
import type { PeerTraffic } from './PeerTraffic.js'

/** Dependencies of the links to other hosts. */
interface PeerMeshOptions {
  readonly self: HostRecord
  readonly clusterKey: string
  readonly dial: DialMap
  /** Returns the addresses of a few hosts from which a host can bootstrap before it has reached the store. */
  readonly listSeeds: () => readonly string[]
  readonly catalog: Catalog
  readonly peers: PeerTable
  readonly clock: Clock
  readonly logger: Logger
  readonly rejected: RejectedInput
  readonly traffic: PeerTraffic
  /** Returns true when a host reads the store itself. */
  readonly isReader: (host: string) => boolean
  /** Returns the state of this host for a heartbeat to a region; `undefined` when the receiver's region is unknown. */
  readonly describeSelf: (region: string | undefined) => Omit<Heartbeat, 'host' | 'versions' | 'eras' | 'pages'>
}

type TablePositions = Pick<Heartbeat, 'versions' | 'eras'>

const tables = Object.values(CatalogTable)

/** Type of the message that holds a heartbeat. */
const heartbeatType = 'beat'

/**
 * Exchanges heartbeats between hosts. Each host sends one to every other host a few times a second. Request and reply both
 * carry the sender's state and updates for tables of which the receiver has an older copy, so a host that the store
 * rejects, or that starts while the store is down, gets the tables from its peers.
 */
export class PeerMesh {
  private readonly server: FrameServer
  private readonly client: FrameClient
  private timer: NodeJS.Timeout | undefined
  private nextSeedContactAtMs = 0
  /** Positions of other hosts' tables as of their last heartbeat. */
  private readonly peerPositions = new Map<string, TablePositions>()

  constructor (private readonly options: PeerMeshOptions) {
    const { self, clusterKey, dial, clock, traffic } = options
    const identity = { name: self.name, role: 'entry', incarnation: self.incarnation } as const
    const onSent = (type: string, bytes: number): void => traffic.recordSent(type, bytes)
    this.server = new FrameServer({ self: identity, clusterKey, idleTimeoutMs: peerLimits.idleTimeoutMs, onSent, onMessage: (message) => this.handleRequest(message) })
    this.client = new FrameClient({
      self: identity,
      clusterKey,
      dial,
      clock,
      onSent,
      onMessage: () => undefined,
      onClose: (address, failure) => {
        if (failure !== undefined) options.rejected.record(InputEdge.peer, 'peer-connection-failed', { address, code: failure.name, reason: failure.message })
      }
    })
  }

  async start (): Promise<void> {
    const { host, port } = parseDestination(this.options.self.peerAddress)
    await this.server.listen(host, port)
    this.timer = setInterval(() => this.tick(), peerLimits.tickMs)
  }

  async stop (): Promise<void> {
    clearInterval(this.timer)
    this.client.close()
    await this.server.close()
  }

  /** Sends a heartbeat with this host's changed state to every other host immediately. */
  announce (): void {
    for (const row of this.options.peers) row.nextHeartbeatAtMs = 0
    this.tick()
  }

  /** Forwards a change immediately to the hosts of the region that don't read the store. */
  relay (): void {
    const { peers, self, isReader } = this.options
    for (const row of peers) {
      if (row.record.region === self.region && !isReader(row.record.name)) row.nextHeartbeatAtMs = 0
    }
    this.tick()
  }

  private tick (): void {
    const nowMs = this.options.clock.nowMs()
    for (const row of this.options.peers) {
      this.logSilence(row, nowMs)
      if (row.isHeartbeatInFlight || nowMs < row.nextHeartbeatAtMs) continue
      row.nextHeartbeatAtMs = nowMs + this.heartbeatIntervalFor(row)
      this.sendHeartbeat(row).catch((error: unknown) =>
        this.options.logger.error('heartbeat-failed', { peer: row.record.name, error: String(error) }))
    }
    this.contactSeeds(nowMs)
  }

  private logSilence (row: PeerRow, nowMs: number): void {
    if (row.isReportedDown || row.lastHeartbeatAtMs === undefined || nowMs - row.lastHeartbeatAtMs < peerLimits.deadAfterMs) return
    row.isReportedDown = true
    this.options.logger.warn('peer-down', { peer: row.record.name, silentMs: Math.round(nowMs - row.lastHeartbeatAtMs) })
  }

  private heartbeatIntervalFor (row: PeerRow): number {
    const baseMs = row.record.region === this.options.self.region ? peerLimits.sameRegionHeartbeatMs : peerLimits.crossRegionHeartbeatMs
    return baseMs * Math.min(peerLimits.maxSlowdown, Math.max(1, this.options.peers.size / peerLimits.fullRateHosts))
  }

  private async sendHeartbeat (row: PeerRow): Promise<void> {
    row.isHeartbeatInFlight = true
    try {
      await this.exchange(row.record.peerAddress, row)
    } finally {
      row.isHeartbeatInFlight = false
    }
  }

  /** Sends heartbeats to the seed addresses while this host has no configuration; the seeds may not be in its peer table yet. */
  private contactSeeds (nowMs: number): void {
    const { catalog, listSeeds, self } = this.options
    if (catalog.versionOf(CatalogTable.orders) >= 0 || nowMs < this.nextSeedContactAtMs) return
    this.nextSeedContactAtMs = nowMs + peerLimits.sameRegionHeartbeatMs
    for (const seed of listSeeds()) {
      if (seed === self.peerAddress) continue
      this.exchange(seed, undefined).catch((error: unknown) => this.options.logger.error('seed-failed', { seed, error: String(error) }))
    }
  }

  private async exchange (address: string, row: PeerRow | undefined): Promise<void> {
    const receiverPositions = row === undefined ? undefined : this.peerPositions.get(row.record.name)
    const sentAtMs = this.options.clock.nowMs()
    const reply = await this.client.request(
      address, encodeHeartbeat(this.createHeartbeat(receiverPositions, row?.record)), peerLimits.heartbeatTimeoutMs)
    if (reply.isErr()) {
      this.options.traffic.recordFailure(heartbeatType, reply.error.name)
      // The connection may be dead without a reset having arrived.
      this.client.disconnect(address)
      return
    }
    this.options.traffic.recordReply(heartbeatType, this.options.clock.nowMs() - sentAtMs)
    if (row !== undefined) row.roundTripMs = smoothRoundTrip(row.roundTripMs, this.options.clock.nowMs() - sentAtMs)
    this.receive(reply.value, sentAtMs)
  }

  private handleRequest (message: Message): Message | undefined {
    const heartbeat = this.receive(message)
    return heartbeat === undefined ? undefined : encodeHeartbeat(this.createHeartbeat(heartbeat, heartbeat.host))
  }

  /** `sentAtMs` is the time of this host's request when the message is its reply. */
  private receive (message: Message, sentAtMs?: number): Heartbeat | undefined {
    const { catalog, clock, peers, logger, rejected } = this.options
    const heartbeat = message.t === heartbeatType ? readHeartbeat(message.beat, (reason, fields) => rejected.record(InputEdge.peer, reason, fields)) : undefined
    if (heartbeat === undefined) {
      rejected.record(InputEdge.peer, 'heartbeat-refused', { type: String(message.t) })
      return undefined
    }
    const nowMs = clock.nowMs()
    const row = peers.receive(heartbeat, nowMs)
    if (row === undefined) return heartbeat
    if (row.isReportedDown) logger.info('peer-up', { peer: heartbeat.host.name, incarnation: heartbeat.host.incarnation })
    row.isReportedDown = false
    this.peerPositions.set(heartbeat.host.name, { versions: heartbeat.versions, eras: heartbeat.eras })
    for (const [table, page] of heartbeat.pages) catalog.apply(table, page, nowMs, heartbeat.host.name)
    if (sentAtMs !== undefined) this.recordContacts(row, heartbeat, sentAtMs)
    return heartbeat
  }

  /** Only a reply bounds how old the peer's state is, since a request may have been under way for any time. */
  private recordContacts (row: PeerRow, heartbeat: Heartbeat, sentAtMs: number): void {
    const { tableAges } = heartbeat
    for (const table of tables) {
      if (tableAges[table] < 0) row.tableContacts.delete(table)
      else if (comparePositions(this.positionOf(heartbeat, table), this.options.catalog.resumeAfter(table)) <= 0) row.tableContacts.set(table, sentAtMs - tableAges[table])
    }
  }

  private createHeartbeat (receiverPositions: TablePositions | undefined, receiver: HostRecord | undefined): Heartbeat {
    const { self, catalog, describeSelf } = this.options
    const versions = { orders: 0, endpoints: 0, hosts: 0 }
    const eras = { orders: 0, endpoints: 0, hosts: 0 }
    for (const table of tables) ({ era: eras[table], version: versions[table] } = catalog.positionOf(table))
    const isReader = receiver === undefined || this.options.isReader(receiver.name)
    return { host: self, versions, eras, pages: this.listPagesFor(receiverPositions, isReader), ...describeSelf(receiver?.region) }
  }

  /** Without a known era, versions are compared as if both copies were of the same one. */
  private positionOf ({ versions, eras }: TablePositions, table: CatalogTable): StorePosition {
    return { era: eras?.[table] ?? this.options.catalog.positionOf(table).era, version: versions[table] }
  }

  /**
   * Lists the table updates for a receiver. A reader gets changes from the store at the same time, so it is sent only tables
   * that it doesn't have at all and versions that it still lacks after `readerPushDelayMs`.
   */
  private listPagesFor (positions: TablePositions | undefined, isReader: boolean): Heartbeat['pages'] {
    const { catalog, clock } = this.options
    if (positions === undefined) return []
    const nowMs = clock.nowMs()
    return tables
      .filter((table) => comparePositions(this.positionOf(positions, table), catalog.positionOf(table)) < 0)
      .filter((table) => !isReader || positions.versions[table] < 0 || catalog.ageOf(table, nowMs) >= peerLimits.readerPushDelayMs)
      .map((table) => [table, this.exportPage(table, this.positionOf(positions, table), nowMs)] as const)
  }

  private exportPage (table: CatalogTable, after: StorePosition, nowMs: number): CatalogPage {
    const page = this.options.catalog.exportSince(table, after, nowMs)
    this.options.traffic.recordPage(table, page.after === undefined ? 'whole' : 'changes', page.rows.length)
    return page
  }
}

/** Follows a shorter round trip at once and a longer one slowly, since a busy process adds to single measurements. */
function smoothRoundTrip (previousMs: number | undefined, measuredMs: number): number {
  return previousMs === undefined || measuredMs < previousMs ? measuredMs : previousMs + peerLimits.roundTripWeight * (measuredMs - previousMs)
}

function encodeHeartbeat (beat: Heartbeat): Message {
  return { t: heartbeatType, beat }
}
