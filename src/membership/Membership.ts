import { Table } from '../common/Table.js'
import { MemberState } from '../model/MemberState.js'
import { compareReports } from './compareReports.js'
import type { Decision } from './Decision.js'
import type { Exchange } from './Exchange.js'
import { listNeighbours } from './listNeighbours.js'
import type { MemberRow } from './MemberRow.js'
import type { MemberTable } from './MemberTable.js'
import { membershipTimes as times } from './membershipTimes.js'
import type { Peer } from './Peer.js'
import { stateRanks } from './stateRanks.js'
import type { SummaryRow } from './SummaryRow.js'
import { Topology } from './Topology.js'
import type { WireRow } from './WireRow.js'

/** The configuration that the own agent holds. */
interface HeldVersion {
  readonly lineage: string
  readonly version: number
  readonly writeId: string
}

/** What an exchange brought. */
interface ExchangeEffect {
  readonly changed: boolean
  /** Something must be passed on at once. */
  readonly urgent: boolean
}

const deadTriesPerBeat = 4
const helperFreshMs = 1_000
const stallMs = 1_000
const idlePeerMs = 30_000

/**
 * Policy of membership: whom to send heartbeats, whom to suspect, which rows to tell whom. It opens no sockets and
 * reads no clock. Each host watches at most 8 hosts of its zone; the zone's relay also watches one host per other zone.
 */
export class Membership {
  private topology = new Topology(undefined)
  private readonly peers = new Table<Peer>()
  private held: HeldVersion = { lineage: '', version: 0, writeId: '' }
  private neighbourCache = new Map<string, ReadonlySet<string>>()
  private lastBeatMs = -Infinity
  private lastStepMs = -Infinity
  private lastContactMs = -Infinity
  private deadCursor = 0
  private summaryCursor = 0
  private summaryPeer = 0

  constructor (readonly table: MemberTable, private readonly epoch: number) {}

  setTopology (topology: Topology): void {
    this.topology = topology
    this.neighbourCache.clear()
    this.lastBeatMs = -Infinity
    this.table.forget((host) => topology.zones.has(host))
  }

  setHeld (held: HeldVersion): void {
    this.held = held
    this.table.setVersion(held.version)
  }

  /** Monotonic time of the newest frame from another agent. */
  get contactMs (): number {
    return this.lastContactMs
  }

  /** True when the host is the first live one of its zone, in its own view. */
  isRelay (nowMs: number): boolean {
    return this.findRelay(this.zone, nowMs) === this.host
  }

  /** Hosts that get heartbeats now. */
  listPeers (): string[] {
    return [...this.peers].filter(({ watched }) => watched).map(({ host }) => host)
  }

  /** One step in time: heartbeats that are due, probes, suspicions and deaths. Call it at least every 100 ms. */
  step (nowMs: number): Decision[] {
    const beat = nowMs - this.lastBeatMs >= times.heartbeatMs
    if (nowMs - this.lastStepMs >= stallMs) this.forgiveSilence(nowMs)
    this.lastStepMs = nowMs
    const decisions: Decision[] = []
    if (beat) decisions.push(...this.beat(nowMs))
    decisions.push(...this.planSpread(nowMs))
    decisions.push(...this.watch(nowMs))
    decisions.push(...this.table.expireSuspects(nowMs).map((host) => ({ kind: 'state', host, state: MemberState.dead }) as const))
    return decisions
  }

  /** Heartbeats to all peers that lack rows, for urgent changes. */
  planUrgent (nowMs: number): Decision[] {
    return this.listLagging(nowMs).flatMap((peer) => this.planHeartbeat(peer.host))
  }

  /** Builds what goes to a peer; `host` is undefined while only its address is known. */
  buildExchange (host: string | undefined, nowMs: number, summaryOf: readonly SummaryRow[] = []): Exchange {
    const { table } = this
    const peer = host === undefined ? undefined : this.peers.get(host)
    if (peer !== undefined) peer.lastSentMs = nowMs
    const from = peer?.mine ?? 0
    const page = peer === undefined ? { rows: [], upTo: 0 } : table.collectChanges(from, (row) => this.isWanted(row, peer, nowMs))
    return {
      row: table.encode(table.self, Infinity),
      epoch: this.epoch,
      from,
      upTo: page.upTo,
      rows: [...page.rows, ...this.findNewer(summaryOf)],
      got: peer?.theirs ?? 0,
      gotEpoch: peer?.epoch ?? 0,
      down: peer !== undefined && this.isSilent(peer, nowMs),
      wants: this.listDownHosts(),
      wantZones: this.listDownZones(nowMs),
      summary: host === undefined ? [] : this.buildSummary(host),
      ...this.held
    }
  }

  /** Takes what a peer sent. `isAnswer` says that it answers an own heartbeat, so the link works both ways. */
  receive (host: string, exchange: Exchange, nowMs: number, isAnswer: boolean): ExchangeEffect {
    const peer = this.ensurePeer(host)
    peer.heardMs = nowMs
    this.lastContactMs = nowMs
    if (isAnswer) peer.ackMs = nowMs
    if (exchange.down) peer.reportedDownMs = nowMs
    if (exchange.epoch !== peer.epoch) Object.assign(peer, { epoch: exchange.epoch, theirs: 0, clearNo: 0 })
    if (exchange.from <= peer.theirs) peer.theirs = Math.max(peer.theirs, exchange.upTo)
    peer.mine = exchange.gotEpoch === this.epoch ? exchange.got : 0
    peer.wants = new Set(exchange.wants)
    peer.wantZones = new Set(exchange.wantZones)
    const results = [exchange.row, ...exchange.rows].map((row) => this.table.merge(row, host, nowMs))
    const linkChanged = this.updateLink(peer, nowMs)
    const urgent = results.includes('urgent')
    // A host that just came up may be a new neighbour or relay; waiting for the next heartbeat would delay news to it.
    if (urgent && !peer.watched) this.lastBeatMs = -Infinity
    return { urgent, changed: urgent || linkChanged || results.includes('changed') }
  }

  /** Takes the result of an indirect probe. */
  receiveProbe (host: string, alive: boolean, nowMs: number): void {
    const peer = this.peers.get(host)
    if (peer !== undefined && alive) peer.indirectMs = nowMs
  }

  /** First live host of a zone by name; undefined when none is. */
  findRelay (zone: string, nowMs: number): string | undefined {
    return this.listZone(zone).find((host) => this.table.findState(host, nowMs) === MemberState.alive)
  }

  private get host (): string {
    return this.table.self.host
  }

  private get zone (): string {
    return this.table.self.zone
  }

  /** The own host belongs to its zone even before the configuration names it. */
  private listZone (zone: string): readonly string[] {
    const names = this.topology.listZone(zone)
    return zone !== this.zone || names.includes(this.host) ? names : [...names, this.host].sort()
  }

  /** After an own pause, silence says nothing about others. */
  private forgiveSilence (nowMs: number): void {
    for (const peer of this.peers) {
      if (peer.watched) peer.sinceMs = nowMs
    }
  }

  private beat (nowMs: number): Decision[] {
    this.lastBeatMs = nowMs
    this.table.beat()
    this.neighbourCache.clear()
    const live = this.listLivePeers(nowMs)
    const watched = new Set(live)
    for (const peer of this.peers) {
      if (peer.watched && !watched.has(peer.host)) Object.assign(peer, { watched: false, sinceMs: -Infinity })
    }
    for (const host of live) {
      const peer = this.ensurePeer(host)
      if (!peer.watched) Object.assign(peer, { watched: true, sinceMs: nowMs })
    }
    this.peers.deleteWhere((peer) => !peer.watched && nowMs - peer.heardMs > idlePeerMs)
    this.summaryPeer += 1
    return [...live, ...this.listDeadTries(watched)].flatMap((host) => this.planHeartbeat(host))
  }

  private listLivePeers (nowMs: number): string[] {
    const ring = this.listZone(this.zone).filter((host) => this.isNotDead(host))
    const neighbours = listNeighbours(ring, this.host, times.maxNeighbours)
    return this.isRelay(nowMs) ? [...neighbours, ...this.listRelays(nowMs)] : neighbours
  }

  /** One host per other zone, and the next one as well while the first is silent. */
  private listRelays (nowMs: number): string[] {
    const relays: string[] = []
    for (const zone of this.topology.listZones()) {
      if (zone === this.zone) continue
      const candidates = this.listZone(zone).filter((host) => this.isNotDead(host))
      const first = this.findRelay(zone, nowMs) ?? candidates[0]
      if (first === undefined) continue
      relays.push(first)
      const peer = this.peers.get(first)
      const silent = peer?.watched === true && nowMs - Math.max(peer.heardMs, peer.sinceMs) >= times.probeMs
      const second = candidates.find((host) => host !== first)
      if ((silent || this.table.get(candidates[0]!)?.state === MemberState.suspect) && second !== undefined) relays.push(second)
      if (candidates[0] !== first && candidates[0] !== second) relays.push(candidates[0]!)
    }
    return relays
  }

  /** Dead and unheard hosts in turn, so that both sides of a healed partition find each other. */
  private listDeadTries (watched: ReadonlySet<string>): string[] {
    const { hosts } = this.topology
    const tries: string[] = []
    for (let i = 0; i < hosts.length && tries.length < deadTriesPerBeat; i += 1) {
      this.deadCursor = (this.deadCursor + 1) % hosts.length
      const host = hosts[this.deadCursor]!
      if (host !== this.host && !watched.has(host) && !this.isNotDead(host)) tries.push(host)
    }
    return tries
  }

  private planSpread (nowMs: number): Decision[] {
    return this.listLagging(nowMs).filter(({ lastSentMs }) => nowMs - lastSentMs >= times.spreadMs).flatMap(({ host }) => this.planHeartbeat(host))
  }

  /** Watched peers for which there are rows that they have not confirmed. */
  private listLagging (nowMs: number): Peer[] {
    return [...this.peers].filter((peer) => {
      if (!peer.watched) return false
      const lags = this.table.hasChanges(Math.max(peer.mine, peer.clearNo), (row) => this.isWanted(row, peer, nowMs))
      if (!lags) peer.clearNo = this.table.changeNo
      return lags
    })
  }

  private planHeartbeat (host: string): Decision[] {
    const address = this.topology.addresses.get(host)
    return address === undefined ? [] : [{ kind: 'heartbeat', host, address }]
  }

  private watch (nowMs: number): Decision[] {
    const decisions: Decision[] = []
    for (const peer of this.peers) {
      if (this.updateLink(peer, nowMs)) decisions.push({ kind: 'link', host: peer.host, down: this.table.get(peer.host)?.linkDown === true })
      if (!peer.watched || this.table.get(peer.host)?.state !== MemberState.alive) continue
      const lastSignMs = Math.max(peer.heardMs, peer.sinceMs, peer.indirectMs)
      const lastAckMs = Math.max(peer.ackMs, peer.sinceMs)
      if (nowMs - lastSignMs >= times.suspectMs) decisions.push(...this.suspect(peer.host, nowMs))
      else if (nowMs - lastAckMs >= times.probeMs && nowMs - peer.lastProbeMs >= times.heartbeatMs) decisions.push(this.planProbe(peer, nowMs))
    }
    return decisions
  }

  private suspect (host: string, nowMs: number): Decision[] {
    const silent = this.listSilentWith(host, nowMs).filter((name) => this.table.suspect(name, nowMs))
    return silent.map((name) => ({ kind: 'state', host: name, state: MemberState.suspect }))
  }

  /** Nobody in another zone whose first two hosts are silent is heard, so the whole zone is in doubt. */
  private listSilentWith (host: string, nowMs: number): string[] {
    const zone = this.topology.zones.get(host)
    if (zone === undefined || zone === this.zone) return [host]
    const others = this.listZone(zone).filter((name) => name !== host)
    if (!others.some((name) => this.table.get(name)?.state === MemberState.suspect)) return [host]
    return [host, ...others.filter((name) => nowMs - (this.peers.get(name)?.heardMs ?? -Infinity) >= times.suspectMs)]
  }

  private planProbe (peer: Peer, nowMs: number): Decision {
    peer.lastProbeMs = nowMs
    const zone = this.topology.zones.get(peer.host)
    const helpers = [...this.peers]
      .filter(({ host, ackMs }) => host !== peer.host && nowMs - ackMs < helperFreshMs)
      .sort((a, b) => Number(this.topology.zones.get(b.host) === zone) - Number(this.topology.zones.get(a.host) === zone))
    return { kind: 'probe', host: peer.host, helpers: helpers.slice(0, times.maxHelpers).map(({ host }) => host) }
  }

  /** True when the peer has not answered own heartbeats for the time after which it would be suspect. */
  private isSilent (peer: Peer, nowMs: number): boolean {
    return peer.watched && nowMs - Math.max(peer.ackMs, peer.sinceMs) >= times.suspectMs
  }

  /** Returns whether the link's state changed. */
  private updateLink (peer: Peer, nowMs: number): boolean {
    const row = this.table.get(peer.host)
    if (row === undefined) return false
    const linkDown = this.isSilent(peer, nowMs) || nowMs - peer.reportedDownMs < times.suspectMs
    const changed = row.linkDown !== linkDown
    row.linkDown = linkDown
    return changed
  }

  /** Rows that the peer gets from their own host or its relay are left out, so that each change travels each way once. */
  private isWanted (row: MemberRow, peer: Peer, nowMs: number): boolean {
    if (row.host === peer.host) return row.state !== MemberState.alive
    if (row.host === this.host || row.source === '') return true
    if (row.source === peer.host) return false
    if (peer.wants.has(row.host) || peer.wantZones.has(row.zone)) return true
    if (this.findZone(peer.host) !== this.zone) return row.zone === this.zone
    const origin = row.zone === this.zone ? row.host : this.findRelay(this.zone, nowMs)
    if (origin === this.host || origin === undefined) return true
    return !this.isNotDead(origin) || !this.listNeighboursOf(origin).has(peer.host)
  }

  private findZone (host: string): string | undefined {
    return this.topology.zones.get(host) ?? this.table.get(host)?.zone
  }

  private listNeighboursOf (host: string): ReadonlySet<string> {
    const cached = this.neighbourCache.get(host)
    if (cached !== undefined) return cached
    const ring = this.listZone(this.zone).filter((name) => this.isNotDead(name))
    const neighbours = new Set(listNeighbours(ring, host, times.maxNeighbours))
    this.neighbourCache.set(host, neighbours)
    return neighbours
  }

  private isNotDead (host: string): boolean {
    return (this.table.get(host)?.state ?? MemberState.dead) !== MemberState.dead
  }

  private listDownHosts (): string[] {
    return [...this.peers].map(({ host }) => host).filter((host) => this.table.get(host)?.linkDown === true)
  }

  private listDownZones (nowMs: number): string[] {
    if (!this.isRelay(nowMs)) return []
    const zones = this.listDownHosts().map((host) => this.findZone(host))
    return [...new Set(zones)].filter((zone) => zone !== undefined && zone !== this.zone) as string[]
  }

  /** One peer per heartbeat gets a summary of the next rows; this repairs what changes missed. */
  private buildSummary (host: string): SummaryRow[] {
    const { hosts } = this.topology
    const watched = this.listPeers()
    if (watched[this.summaryPeer % Math.max(1, watched.length)] !== host) return []
    const count = Math.min(times.summaryRows, hosts.length)
    const names = Array.from({ length: count }, (_, i) => hosts[(this.summaryCursor + i) % hosts.length]!)
    this.summaryCursor = (this.summaryCursor + count) % Math.max(1, hosts.length)
    return names.map((name) => {
      const row = this.table.get(name)
      return [name, row?.incarnation ?? 0, row === undefined ? 0 : stateRanks.indexOf(row.state), row?.configVersion ?? 0, row?.report?.incarnation ?? 0, row?.report?.no ?? 0]
    })
  }

  private findNewer (summary: readonly SummaryRow[]): WireRow[] {
    return summary.flatMap(([host, incarnation, state, configVersion, reportIncarnation, no]) => {
      const row = this.table.get(host)
      if (row === undefined || row.incarnation === 0) return []
      const withReport = compareReports(row.report, { incarnation: reportIncarnation, no }) > 0
      const differs = row.incarnation > incarnation || row.configVersion > configVersion || stateRanks.indexOf(row.state) !== state
      return withReport || differs ? [this.table.encode(row, withReport ? 0 : Infinity)] : []
    })
  }

  private ensurePeer (host: string): Peer {
    return this.peers.ensure(host, () => ({
      host,
      sinceMs: -Infinity,
      watched: false,
      ackMs: -Infinity,
      heardMs: -Infinity,
      indirectMs: -Infinity,
      lastProbeMs: -Infinity,
      lastSentMs: -Infinity,
      reportedDownMs: -Infinity,
      epoch: 0,
      theirs: 0,
      mine: 0,
      clearNo: 0,
      wants: new Set<string>(),
      wantZones: new Set<string>()
    }))
  }
}
