import type { Clock } from '../common/Clock.js'
import type { DialMap } from '../common/DialMap.js'
import type { Logger } from '../common/Logger.js'
import { parseDestination } from '../common/parseDestination.js'
import { FrameClient } from '../wire/FrameClient.js'
import { FrameServer } from '../wire/FrameServer.js'
import type { Message } from '../wire/Message.js'
import type { Catalog } from '../catalog/Catalog.js'
import { CatalogTable } from '../catalog/CatalogTable.js'
import { readHeartbeat } from './readHeartbeat.js'
import { peerLimits } from './peerLimits.js'
import type { Heartbeat } from './Heartbeat.js'
import type { HostRecord } from './HostRecord.js'
import type { PeerRow } from './PeerRow.js'
import type { PeerTable } from './PeerTable.js'

/** What the links to other hosts need. */
interface PeerMeshOptions {
  readonly self: HostRecord
  readonly clusterKey: string
  readonly dial: DialMap
  /** Addresses of a few hosts that may help a host that has not reached the store. */
  readonly listSeeds: () => readonly string[]
  readonly catalog: Catalog
  readonly peers: PeerTable
  readonly clock: Clock
  readonly logger: Logger
  /** True when a host asks the store by itself. */
  readonly isReader: (host: string) => boolean
  /** State of this host for heartbeats to a region; to any region when undefined. */
  readonly describe: (region: string | undefined) => Omit<Heartbeat, 'host' | 'versions' | 'pages'>
}

const tables = Object.values(CatalogTable)

/**
 * Heartbeats between hosts. Each asks every other one a few times a second; question and answer carry the sender's
 * state and the tables of which the other side has an older version. So a host that the store turns away, or that
 * starts while the store is down, learns from its peers.
 */
export class PeerMesh {
  private readonly server: FrameServer
  private readonly client: FrameClient
  private timer: NodeJS.Timeout | undefined
  private nextSeedAtMs = 0
  /** Versions that other hosts had at their last heartbeat. */
  private readonly knownVersions = new Map<string, Heartbeat['versions']>()

  constructor (private readonly options: PeerMeshOptions) {
    const { self, clusterKey, dial, clock } = options
    const identity = { name: self.name, role: 'entry', incarnation: self.incarnation } as const
    this.server = new FrameServer({ self: identity, clusterKey, onMessage: (message) => this.answer(message) })
    this.client = new FrameClient({ self: identity, clusterKey, dial, clock, onMessage: () => undefined })
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

  /** Tells every other host at once that this one's state has changed. */
  announce (): void {
    for (const row of this.options.peers) row.nextBeatAtMs = 0
    this.tick()
  }

  /** Passes a change on at once to the hosts of the region that don't ask the store. */
  relay (): void {
    const { peers, self, isReader } = this.options
    for (const row of peers) {
      if (row.record.region === self.region && !isReader(row.record.name)) row.nextBeatAtMs = 0
    }
    this.tick()
  }

  private tick (): void {
    const nowMs = this.options.clock.nowMs()
    for (const row of this.options.peers) {
      this.reportSilence(row, nowMs)
      if (row.isBeating || nowMs < row.nextBeatAtMs) continue
      row.nextBeatAtMs = nowMs + this.intervalFor(row)
      this.beat(row).catch((error: unknown) => this.options.logger.error('heartbeat-failed', { peer: row.record.name, error: String(error) }))
    }
    this.askSeeds(nowMs)
  }

  private reportSilence (row: PeerRow, nowMs: number): void {
    if (row.isReportedDown || row.heardAtMs === undefined || nowMs - row.heardAtMs < peerLimits.deadAfterMs) return
    row.isReportedDown = true
    this.options.logger.warn('peer-down', { peer: row.record.name, silentMs: Math.round(nowMs - row.heardAtMs) })
  }

  private intervalFor (row: PeerRow): number {
    const baseMs = row.record.region === this.options.self.region ? peerLimits.nearBeatMs : peerLimits.farBeatMs
    return baseMs * Math.min(peerLimits.maxSlowdown, Math.max(1, this.options.peers.size / peerLimits.fullRateHosts))
  }

  private async beat (row: PeerRow): Promise<void> {
    row.isBeating = true
    await this.exchange(row.record.peerAddress, row)
    row.isBeating = false
  }

  /** A host without a configuration asks the seeds, whose names it may not know. */
  private askSeeds (nowMs: number): void {
    const { catalog, listSeeds, self } = this.options
    if (catalog.versionOf(CatalogTable.orders) >= 0 || nowMs < this.nextSeedAtMs) return
    this.nextSeedAtMs = nowMs + peerLimits.nearBeatMs
    for (const seed of listSeeds()) {
      if (seed === self.peerAddress) continue
      this.exchange(seed, undefined).catch((error: unknown) => this.options.logger.error('seed-failed', { seed, error: String(error) }))
    }
  }

  private async exchange (address: string, row: PeerRow | undefined): Promise<void> {
    const known = row === undefined ? undefined : this.knownVersions.get(row.record.name)
    const reply = await this.client.request(address, encode(this.createBeat(known, row?.record)), peerLimits.beatTimeoutMs)
    if (reply.isErr()) {
      // A connection may have gone silent without a reset.
      this.client.drop(address)
      return
    }
    this.receive(reply.value)
  }

  private answer (message: Message): Message | undefined {
    const beat = this.receive(message)
    return beat === undefined ? undefined : encode(this.createBeat(beat.versions, beat.host))
  }

  private receive (message: Message): Heartbeat | undefined {
    const { catalog, clock, peers, logger } = this.options
    const beat = message.t === 'beat' ? readHeartbeat(message.beat) : undefined
    if (beat === undefined) {
      logger.warn('heartbeat-refused', { type: String(message.t) })
      return undefined
    }
    const nowMs = clock.nowMs()
    const row = peers.receive(beat, nowMs)
    if (row === undefined) return beat
    if (row.isReportedDown) logger.info('peer-up', { peer: beat.host.name, incarnation: beat.host.incarnation })
    row.isReportedDown = false
    this.knownVersions.set(beat.host.name, beat.versions)
    for (const [table, page] of beat.pages) catalog.apply(table, page, nowMs, beat.host.name)
    return beat
  }

  private createBeat (theirs: Heartbeat['versions'] | undefined, receiver: HostRecord | undefined): Heartbeat {
    const { self, catalog, describe } = this.options
    const versions = { orders: 0, endpoints: 0, hosts: 0 }
    for (const table of tables) versions[table] = catalog.versionOf(table)
    const isReader = receiver === undefined || this.options.isReader(receiver.name)
    return { host: self, versions, pages: this.listPagesFor(theirs, isReader), ...describe(receiver?.region) }
  }

  /** A host that asks the store itself gets a change from there at the same time, so it is sent only what it still lacks. */
  private listPagesFor (theirs: Heartbeat['versions'] | undefined, isReader: boolean): Heartbeat['pages'] {
    const { catalog, clock } = this.options
    if (theirs === undefined) return []
    const nowMs = clock.nowMs()
    return tables
      .filter((table) => theirs[table] < catalog.versionOf(table))
      .filter((table) => !isReader || theirs[table] < 0 || catalog.ageOf(table, nowMs) >= peerLimits.shareAfterMs)
      .map((table) => [table, catalog.exportSince(table, theirs[table])] as const)
  }
}

function encode (beat: Heartbeat): Message {
  return { t: 'beat', beat }
}
