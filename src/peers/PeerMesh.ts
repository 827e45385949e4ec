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
import { CatalogTable } from '../catalog/CatalogTable.js'
import { comparePositions } from '../catalog/comparePositions.js'
import type { BehindTable } from './BehindTable.js'
import { computeDeadAfterMs } from './computeDeadAfterMs.js'
import { PageServer } from './PageServer.js'
import { PeerMessage } from './PeerMessage.js'
import { positionOf } from './positionOf.js'
import { readHeartbeat } from './readHeartbeat.js'
import { TableFetcher } from './TableFetcher.js'
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
  readonly random: () => number
  /** Returns the state of this host for a heartbeat to a region; `undefined` when the receiver's region is unknown. */
  readonly describeSelf: (region: string | undefined) => Omit<Heartbeat, 'host' | 'versions' | 'eras' | 'pages'>
}

const tables = Object.values(CatalogTable)

/**
 * Exchanges heartbeats between hosts. Each host sends one to every other host a few times a second. Request and reply both
 * carry the sender's state and the positions of its tables. A host with older ones fetches what it lacks, so a host that the
 * store rejects, or that starts while the store is down, gets the tables from its peers.
 */
export class PeerMesh {
  private readonly server: FrameServer
  private readonly client: FrameClient
  private timer: NodeJS.Timeout | undefined
  private nextSeedContactAtMs = 0
  private readonly pages: PageServer
  private readonly fetcher: TableFetcher

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
    this.pages = new PageServer({ catalog: options.catalog, clock, traffic, getLinkMbps: () => self.linkMbps })
    this.fetcher = this.createFetcher()
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

  /** Tells the hosts of the region that don't read the store immediately of a change, so that they fetch it. */
  relay (): void {
    const { peers, self, isReader } = this.options
    for (const row of peers) {
      if (row.record.region === self.region && !isReader(row.record.name)) row.nextHeartbeatAtMs = 0
    }
    this.tick()
  }

  /** Lists the tables of which another host is known to have a newer copy. */
  listBehind (nowMs: number): BehindTable[] {
    return this.fetcher.listBehind(nowMs)
  }

  /** Returns for how long in ms another host is known to have a newer copy of a table; 0 when none is. */
  getBehindMs (table: CatalogTable, nowMs: number): number {
    return this.fetcher.getBehindMs(table, nowMs)
  }

  private tick (): void {
    const nowMs = this.options.clock.nowMs()
    for (const row of this.options.peers) {
      row.heartbeatIntervalMs = this.heartbeatIntervalFor(row)
      this.logSilence(row, nowMs)
      if (row.isHeartbeatInFlight || nowMs < row.nextHeartbeatAtMs) continue
      row.nextHeartbeatAtMs = nowMs + row.heartbeatIntervalMs
      this.sendHeartbeat(row).catch((error: unknown) =>
        this.options.logger.error('heartbeat-failed', { peer: row.record.name, error: String(error) }))
    }
    this.contactSeeds(nowMs)
    this.fetcher.run(nowMs)
  }

  private createFetcher (): TableFetcher {
    const { self, catalog, peers, clock, logger, traffic, random, isReader, rejected } = this.options
    return new TableFetcher({
      region: self.region,
      catalog,
      peers,
      clock,
      logger,
      traffic,
      random,
      isReader: () => isReader(self.name),
      request: async (address, message, timeoutMs) => await this.client.request(address, message, timeoutMs),
      onRejected: (reason, fields) => rejected.record(InputEdge.peer, reason, fields),
      onFetched: (table) => this.handleFetched(table)
    })
  }

  /** What peers reported may now show that the copy is complete. A reader passes on what it got from another region. */
  private handleFetched (table: CatalogTable): void {
    const { peers, self, isReader } = this.options
    for (const row of peers) this.updateContact(row, table)
    if (isReader(self.name)) this.relay()
  }

  private logSilence (row: PeerRow, nowMs: number): void {
    if (row.isReportedDown || row.lastHeartbeatAtMs === undefined || nowMs - row.lastHeartbeatAtMs < computeDeadAfterMs(row.heartbeatIntervalMs)) return
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
    const sentAtMs = this.options.clock.nowMs()
    const reply = await this.client.request(address, this.createHeartbeat(row?.record.region), peerLimits.heartbeatTimeoutMs)
    if (reply.isErr()) {
      this.options.traffic.recordFailure(PeerMessage.heartbeat, reply.error.name)
      // The connection may be dead without a reset having arrived.
      this.client.disconnect(address)
      return
    }
    this.options.traffic.recordReply(PeerMessage.heartbeat, this.options.clock.nowMs() - sentAtMs)
    if (row !== undefined) row.roundTripMs = smoothRoundTrip(row.roundTripMs, this.options.clock.nowMs() - sentAtMs)
    this.receive(reply.value, sentAtMs)
  }

  private handleRequest (message: Message): Message | undefined {
    if (message.t === PeerMessage.fetch) return this.pages.serve(message)
    const heartbeat = this.receive(message)
    return heartbeat === undefined ? undefined : this.createHeartbeat(heartbeat.host.region)
  }

  /** `sentAtMs` is the time of this host's request when the message is its reply. */
  private receive (message: Message, sentAtMs?: number): Heartbeat | undefined {
    const { catalog, clock, peers, logger, rejected } = this.options
    const heartbeat = message.t === PeerMessage.heartbeat ? readHeartbeat(message.beat, (reason, fields) => rejected.record(InputEdge.peer, reason, fields)) : undefined
    if (heartbeat === undefined) {
      rejected.record(InputEdge.peer, 'heartbeat-refused', { type: String(message.t) })
      return undefined
    }
    const nowMs = clock.nowMs()
    const row = peers.receive(heartbeat, nowMs)
    if (row === undefined) return heartbeat
    if (row.isReportedDown) logger.info('peer-up', { peer: heartbeat.host.name, incarnation: heartbeat.host.incarnation })
    row.isReportedDown = false
    // Hosts of an earlier release send pages in heartbeats.
    for (const [table, page] of heartbeat.pages) catalog.apply(table, page, nowMs, heartbeat.host.name)
    if (sentAtMs !== undefined) this.recordReport(row, heartbeat, sentAtMs)
    this.fetcher.run(nowMs)
    return heartbeat
  }

  /** Only a reply bounds how old the peer's state is, since a request may have been under way for any time. */
  private recordReport (row: PeerRow, { versions, eras, tableAges }: Heartbeat, sentAtMs: number): void {
    row.report = { versions, eras, tableAges, sentAtMs }
    for (const table of tables) this.updateContact(row, table)
  }

  private updateContact ({ report, tableContacts }: PeerRow, table: CatalogTable): void {
    if (report === undefined) return
    const ageMs = report.tableAges[table]
    const own = this.options.catalog.resumeAfter(table)
    if (ageMs < 0) tableContacts.delete(table)
    else if (comparePositions(positionOf(report, table, own.era), own) <= 0) tableContacts.set(table, report.sentAtMs - ageMs)
  }

  private createHeartbeat (region: string | undefined): Message {
    const { self, catalog, describeSelf } = this.options
    const versions = { orders: 0, endpoints: 0, hosts: 0 }
    const eras = { orders: 0, endpoints: 0, hosts: 0 }
    for (const table of tables) ({ era: eras[table], version: versions[table] } = catalog.positionOf(table))
    const beat: Heartbeat = { host: self, versions, eras, pages: [], ...describeSelf(region) }
    return { t: PeerMessage.heartbeat, beat }
  }
}

/** Follows a shorter round trip at once and a longer one slowly, since a busy process adds to single measurements. */
function smoothRoundTrip (previousMs: number | undefined, measuredMs: number): number {
  return previousMs === undefined || measuredMs < previousMs ? measuredMs : previousMs + peerLimits.roundTripWeight * (measuredMs - previousMs)
}
