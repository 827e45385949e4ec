import { Table } from '../common/Table.js'
import { MemberState } from '../model/MemberState.js'
import { AntiEntropy } from './AntiEntropy.js'
import { createPeer } from './createPeer.js'
import type { MembershipAction } from './MembershipAction.js'
import type { Exchange } from './Exchange.js'
import { listNeighbours } from './listNeighbours.js'
import type { MemberRow } from './MemberRow.js'
import type { MemberTable } from './MemberTable.js'
import { membershipTimes as times } from './membershipTimes.js'
import type { Peer } from './Peer.js'
import type { SummaryRow } from './SummaryRow.js'
import { Topology } from './Topology.js'
import { update } from '../common/update.js'

/** Identifies the configuration that this agent holds. */
interface HeldConfig {
  readonly lineage: string
  readonly version: number
  readonly writeId: string
}

/** Result of merging a received exchange. */
interface ReceiveResult {
  readonly changed: boolean
  /** True when at least one change must be sent to the peers at once. */
  readonly urgent: boolean
}

/** Largest number of unreachable hosts to which a heartbeat round sends a reconnect attempt. */
const maxReconnectsPerHeartbeat = 4
/** Largest number of hosts scanned for reconnect candidates per round; bounds the cost whatever the number of hosts. */
const maxScannedPerHeartbeat = 256
/** A peer helps with indirect probes only when its last acknowledgement is younger than this. */
const maxHelperAckAgeMs = 1_000
/** Gap between two steps from which the agent treats itself as having been paused. */
const stallMs = 1_000
/** Time after the last frame when an unwatched peer is removed. */
const idlePeerMs = 30_000

/**
 * Implements the membership protocol: decides which hosts get heartbeats, which become suspect, and which rows each peer
 * receives. The class opens no sockets and reads no clock. Each host watches at most 8 hosts of its zone; the zone's
 * relay also watches one host per other zone.
 */
export class Membership {
  private topology = new Topology(undefined)
  private readonly peers = new Table<Peer>()
  private held: HeldConfig = { lineage: '', version: 0, writeId: '' }
  private neighbourCache = new Map<string, ReadonlySet<string>>()
  private lastHeartbeatMs = -Infinity
  private lastStepMs = -Infinity
  private lastContactMs = -Infinity
  private reconnectCursor = 0
  private readonly antiEntropy: AntiEntropy

  constructor (readonly table: MemberTable, private readonly epoch: number) {
    this.antiEntropy = new AntiEntropy(table)
  }

  setTopology (topology: Topology): void {
    this.topology = topology
    this.neighbourCache.clear()
    this.lastHeartbeatMs = -Infinity
    this.table.pruneDead((host) => topology.zones.has(host))
  }

  setHeldConfig (held: HeldConfig): void {
    this.held = held
    this.table.setConfigVersion(held.version)
  }

  /** Monotonic time of the last heartbeat or acknowledgement from another agent. */
  get contactMs (): number {
    return this.lastContactMs
  }

  /** Returns whether this host is the first live host of its zone in its own view. */
  isRelay (nowMs: number): boolean {
    return this.findRelay(this.zone, nowMs) === this.host
  }

  /** Lists the hosts that currently receive heartbeats. */
  listPeers (): string[] {
    return [...this.peers].filter(({ watched }) => watched).map(({ host }) => host)
  }

  /** Runs one time step: due heartbeats, probes, new suspect hosts and new dead hosts. Must be called at least every 100 ms. */
  step (nowMs: number): MembershipAction[] {
    const isHeartbeatDue = nowMs - this.lastHeartbeatMs >= times.heartbeatMs
    if (nowMs - this.lastStepMs >= stallMs) this.resetSilence(nowMs)
    this.lastStepMs = nowMs
    const decisions: MembershipAction[] = []
    if (isHeartbeatDue) decisions.push(...this.startHeartbeatRound(nowMs))
    decisions.push(...this.planGossip(nowMs))
    decisions.push(...this.checkPeers(nowMs))
    decisions.push(...this.table.expireSuspects(nowMs).map((host) => ({ kind: 'state', host, state: MemberState.dead }) as const))
    return decisions
  }

  /** Plans heartbeats to all peers with unconfirmed rows, so that urgent changes need not wait for the next round. */
  planUrgentHeartbeats (nowMs: number): MembershipAction[] {
    return this.listLaggingPeers(nowMs).flatMap((peer) => this.planHeartbeat(peer.host))
  }

  /** Builds the exchange for a peer; `host` is undefined while only the peer's address is known. */
  buildExchange (host: string | undefined, nowMs: number, summaryOf: readonly SummaryRow[] = []): Exchange {
    const { table } = this
    const peer = host === undefined ? undefined : this.peers.get(host)
    if (peer !== undefined) peer.lastSentMs = nowMs
    const from = peer?.confirmedUpTo ?? 0
    const page = peer === undefined ? { rows: [], upTo: 0 } : table.collectChanges(from, (row) => this.shouldSend(row, peer, nowMs))
    return {
      row: table.encode(table.self, Infinity),
      epoch: this.epoch,
      from,
      upTo: page.upTo,
      rows: [...page.rows, ...this.antiEntropy.collectNewerRows(summaryOf)],
      got: peer?.receivedUpTo ?? 0,
      gotEpoch: peer?.epoch ?? 0,
      down: peer !== undefined && this.isUnresponsive(peer, nowMs),
      wants: this.listLinkDownHosts(),
      wantZones: this.listLinkDownZones(nowMs),
      summary: host === undefined ? [] : this.antiEntropy.buildSummary(host, this.listPeers(), this.topology.hosts),
      ...this.held
    }
  }

  /** Merges an exchange from a peer. `isAck` is true for the reply to an own heartbeat, which proves that the link works both ways. */
  receive (host: string, exchange: Exchange, nowMs: number, isAck: boolean): ReceiveResult {
    const peer = this.ensurePeer(host)
    peer.lastFrameMs = nowMs
    this.lastContactMs = nowMs
    if (isAck) peer.lastAckMs = nowMs
    if (exchange.down) peer.lastReportedDownMs = nowMs
    if (exchange.epoch !== peer.epoch) update(peer, { epoch: exchange.epoch, receivedUpTo: 0, checkedUpTo: 0 })
    if (exchange.from <= peer.receivedUpTo) peer.receivedUpTo = Math.max(peer.receivedUpTo, exchange.upTo)
    peer.confirmedUpTo = exchange.gotEpoch === this.epoch ? exchange.got : 0
    peer.linkDownHosts = new Set(exchange.wants)
    peer.linkDownZones = new Set(exchange.wantZones)
    const results = [exchange.row, ...exchange.rows].map((row) => this.table.merge(row, host, nowMs))
    const linkChanged = this.updateLink(peer, nowMs)
    const urgent = results.includes('urgent')
    // A host that has just started may be a new neighbour or relay; the next round would send it pending changes too late.
    if (urgent && !peer.watched) this.lastHeartbeatMs = -Infinity
    return { urgent, changed: urgent || linkChanged || results.includes('changed') }
  }

  /** Records the result of an indirect probe. */
  recordProbeResult (host: string, alive: boolean, nowMs: number): void {
    const peer = this.peers.get(host)
    if (peer !== undefined && alive) peer.lastIndirectAckMs = nowMs
  }

  /** Returns the first live host of a zone by name, or undefined when no host of the zone is alive. */
  findRelay (zone: string, nowMs: number): string | undefined {
    return this.listZone(zone).find((host) => this.table.findState(host, nowMs) === MemberState.alive)
  }

  private get host (): string {
    return this.table.self.host
  }

  private get zone (): string {
    return this.table.self.zone
  }

  /** Lists the hosts of a zone; the own zone includes the own host even before the configuration contains it. */
  private listZone (zone: string): readonly string[] {
    const names = this.topology.listZone(zone)
    return zone !== this.zone || names.includes(this.host) ? names : [...names, this.host].sort()
  }

  /** Restarts the silence timers after a pause of this process, during which it could receive nothing. */
  private resetSilence (nowMs: number): void {
    for (const peer of this.peers) {
      if (peer.watched) peer.watchedSinceMs = nowMs
    }
  }

  private startHeartbeatRound (nowMs: number): MembershipAction[] {
    this.lastHeartbeatMs = nowMs
    this.table.incrementSeq()
    this.neighbourCache.clear()
    const live = this.listLivePeers(nowMs)
    const watched = new Set(live)
    for (const peer of this.peers) {
      if (!watched.has(peer.host)) peer.watched = false
    }
    for (const host of live) {
      const peer = this.ensurePeer(host)
      if (!peer.watched) update(peer, { watched: true, watchedSinceMs: nowMs })
    }
    this.peers.deleteWhere((peer) => !peer.watched && nowMs - peer.lastFrameMs > idlePeerMs)
    this.antiEntropy.startRound()
    return [...live, ...this.listReconnectCandidates(watched)].flatMap((host) => this.planHeartbeat(host))
  }

  private listLivePeers (nowMs: number): string[] {
    const ring = this.listZone(this.zone).filter((host) => this.isNotDead(host))
    const neighbours = listNeighbours(ring, this.host, times.maxNeighbours)
    return this.isRelay(nowMs) ? [...neighbours, ...this.listRelays(nowMs)] : neighbours
  }

  /** Lists one host per other zone, and a second one while the first is silent or suspect. */
  private listRelays (nowMs: number): string[] {
    const relays: string[] = []
    for (const zone of this.topology.listZones()) {
      if (zone === this.zone) continue
      const candidates = this.listZone(zone).filter((host) => this.isNotDead(host))
      const first = this.findRelay(zone, nowMs) ?? candidates[0]
      if (first === undefined) continue
      relays.push(first)
      const peer = this.peers.get(first)
      const silent = peer?.watched === true && nowMs - Math.max(peer.lastFrameMs, peer.watchedSinceMs) >= times.probeMs
      const second = candidates.find((host) => host !== first)
      if ((silent || this.table.get(candidates[0]!)?.state === MemberState.suspect) && second !== undefined) relays.push(second)
      if (candidates[0] !== first && candidates[0] !== second) relays.push(candidates[0]!)
    }
    return relays
  }

  /** Returns the next dead or unknown hosts in round-robin order, so that both sides of a healed partition reconnect. */
  private listReconnectCandidates (watched: ReadonlySet<string>): string[] {
    const { hosts } = this.topology
    const candidates: string[] = []
    for (let i = 0; i < Math.min(hosts.length, maxScannedPerHeartbeat) && candidates.length < maxReconnectsPerHeartbeat; i += 1) {
      this.reconnectCursor = (this.reconnectCursor + 1) % hosts.length
      const host = hosts[this.reconnectCursor]!
      if (host !== this.host && !watched.has(host) && !this.isNotDead(host)) candidates.push(host)
    }
    return candidates
  }

  private planGossip (nowMs: number): MembershipAction[] {
    return this.listLaggingPeers(nowMs).filter(({ lastSentMs }) => nowMs - lastSentMs >= times.gossipIntervalMs).flatMap(({ host }) => this.planHeartbeat(host))
  }

  /** Lists the watched peers that have not confirmed all rows meant for them. */
  private listLaggingPeers (nowMs: number): Peer[] {
    return [...this.peers].filter((peer) => {
      if (!peer.watched) return false
      const isLagging = this.table.hasChanges(Math.max(peer.confirmedUpTo, peer.checkedUpTo), (row) => this.shouldSend(row, peer, nowMs))
      if (!isLagging) peer.checkedUpTo = this.table.changeNo
      return isLagging
    })
  }

  private planHeartbeat (host: string): MembershipAction[] {
    const address = this.topology.addresses.get(host)
    return address === undefined ? [] : [{ kind: 'heartbeat', host, address }]
  }

  private checkPeers (nowMs: number): MembershipAction[] {
    const decisions: MembershipAction[] = []
    for (const peer of this.peers) {
      if (this.updateLink(peer, nowMs)) decisions.push({ kind: 'link', host: peer.host, down: this.table.get(peer.host)?.linkDown === true })
      if (!peer.watched || this.table.get(peer.host)?.state !== MemberState.alive) continue
      const lastEvidenceMs = Math.max(peer.lastFrameMs, peer.watchedSinceMs, peer.lastIndirectAckMs)
      const lastResponseMs = Math.max(peer.lastAckMs, peer.watchedSinceMs)
      if (nowMs - lastEvidenceMs >= times.suspectMs) decisions.push(...this.markSuspects(peer.host, nowMs))
      else if (nowMs - lastResponseMs >= times.probeMs && nowMs - peer.lastProbeMs >= times.heartbeatMs) decisions.push(this.planProbe(peer, nowMs))
    }
    return decisions
  }

  private markSuspects (host: string, nowMs: number): MembershipAction[] {
    const silent = this.listSuspects(host, nowMs).filter((name) => this.table.markSuspect(name, nowMs))
    return silent.map((name) => ({ kind: 'state', host: name, state: MemberState.suspect }))
  }

  /**
   * Lists the hosts to suspect along with a silent host. When another host of the same remote zone is already suspect,
   * the zone as a whole may be unreachable, so all its hosts without a recent frame are included.
   */
  private listSuspects (host: string, nowMs: number): string[] {
    const zone = this.topology.zones.get(host)
    if (zone === undefined || zone === this.zone) return [host]
    const others = this.listZone(zone).filter((name) => name !== host)
    if (!others.some((name) => this.table.get(name)?.state === MemberState.suspect)) return [host]
    return [host, ...others.filter((name) => nowMs - (this.peers.get(name)?.lastFrameMs ?? -Infinity) >= times.suspectMs)]
  }

  private planProbe (peer: Peer, nowMs: number): MembershipAction {
    peer.lastProbeMs = nowMs
    const zone = this.topology.zones.get(peer.host)
    const helpers = [...this.peers]
      .filter(({ host, lastAckMs }) => host !== peer.host && nowMs - lastAckMs < maxHelperAckAgeMs)
      .sort((a, b) => Number(this.topology.zones.get(b.host) === zone) - Number(this.topology.zones.get(a.host) === zone))
    return { kind: 'probe', host: peer.host, helpers: helpers.slice(0, times.maxHelpers).map(({ host }) => host) }
  }

  /** Returns whether the peer has acknowledged no heartbeat for `suspectMs`. */
  private isUnresponsive (peer: Peer, nowMs: number): boolean {
    return peer.watched && nowMs - Math.max(peer.lastAckMs, peer.watchedSinceMs) >= times.suspectMs
  }

  /** Updates the state of the direct link to a peer; returns whether the state changed. */
  private updateLink (peer: Peer, nowMs: number): boolean {
    const row = this.table.get(peer.host)
    if (row === undefined) return false
    const linkDown = this.isUnresponsive(peer, nowMs) || nowMs - peer.lastReportedDownMs < times.suspectMs
    const changed = row.linkDown !== linkDown
    row.linkDown = linkDown
    return changed
  }

  /** Leaves out rows that the peer receives directly from their own host or its relay, so that each change crosses each link once. */
  private shouldSend (row: MemberRow, peer: Peer, nowMs: number): boolean {
    if (row.host === peer.host) return row.state !== MemberState.alive
    if (row.host === this.host || row.source === '') return true
    if (row.source === peer.host) return false
    if (peer.linkDownHosts.has(row.host) || peer.linkDownZones.has(row.zone)) return true
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

  private listLinkDownHosts (): string[] {
    return [...this.peers].map(({ host }) => host).filter((host) => this.table.get(host)?.linkDown === true)
  }

  private listLinkDownZones (nowMs: number): string[] {
    if (!this.isRelay(nowMs)) return []
    const zones = this.listLinkDownHosts().map((host) => this.findZone(host))
    return [...new Set(zones)].filter((zone) => zone !== undefined && zone !== this.zone) as string[]
  }

  private ensurePeer (host: string): Peer {
    return this.peers.ensure(host, () => createPeer(host))
  }
}
