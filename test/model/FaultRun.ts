import type { ClaimHandle } from '../../src/claim/ClaimHandle.js'
import { ClaimService } from '../../src/claim/ClaimService.js'
import type { PeerMessenger } from '../../src/common/PeerMessenger.js'
import type { ConfigDoc } from '../../src/model/ConfigDoc.js'
import type { Member } from '../../src/model/Member.js'
import type { Permit } from '../../src/share/Permit.js'
import { ShareService } from '../../src/share/ShareService.js'
import type { Message } from '../../src/wire/Message.js'
import type { PeerIdentity } from '../../src/wire/PeerIdentity.js'
import { CapMonitor } from './CapMonitor.js'
import { findDelayMs } from './createDoc.js'
import { createRandom } from './createRandom.js'
import { SimulatedNetwork } from './SimulatedNetwork.js'

/** The share and claim services of one host's entry process. */
class EntryNode {
  readonly share: ShareService
  readonly claims: ClaimService
  /** Version of the configuration that the host has received. */
  version = 0
  seq = 0

  constructor (net: SimulatedNetwork, readonly identity: PeerIdentity, messenger: PeerMessenger) {
    const options = { host: identity.name, incarnation: identity.incarnation, clock: net.clock, messenger }
    this.share = new ShareService(options)
    this.claims = new ClaimService(options)
  }

  async handleMessage (message: Message, peer: PeerIdentity): Promise<Message | undefined> {
    return message.t.startsWith('loan') ? this.share.handleMessage(message, peer) : await this.claims.handleMessage(message, peer)
  }

  tick (nowMs: number): void {
    this.share.tick(nowMs)
    this.claims.tick(nowMs)
  }
}

/** A request that counts as in request until `endsAtMs`, even when its host is paused. */
interface InFlightRequest {
  readonly node: EntryNode
  readonly permit: Permit
  readonly endsAtMs: number
  readonly region: string
  released: boolean
}

interface KeyRecord {
  runs: number
  granted: number
  /** True once a caller has received "not run" for a key that had run. */
  falseNotRun: boolean
}

/** Load and fault rates of a run. `crash`, `pause` and `cut` are probabilities per second; `drop` is one per message. */
export interface FaultRunOptions {
  readonly seed: number
  readonly doc: ConfigDoc
  readonly seconds: number
  readonly crash: number
  readonly pause: number
  readonly cut: number
  readonly drop: number
  /** Requests per second over all hosts. */
  readonly load: number
  /** Longest service time of a short request, in ms. */
  readonly serviceMs: number
}

const cycleMs = 5_000
const regions = ['region0', 'region1', 'region2']

/** Runs the real services of several hosts under random faults and checks the invariants over all hosts. */
export class FaultRun {
  readonly net: SimulatedNetwork
  readonly ledger: CapMonitor
  readonly keys = new Map<string, KeyRecord>()
  readonly counts = { refused: 0, granted: 0, replayed: 0, uncertain: 0, crashes: 0, pauses: 0, cuts: 0 }
  worstRegion = 0
  doc: ConfigDoc
  private readonly random: () => number
  private readonly nodes = new Map<string, EntryNode>()
  private readonly lastMembers = new Map<string, Member>()
  private readonly timers: { atMs: number, node: EntryNode, run: () => void }[] = []
  private readonly recoveries: { atMs: number, run: () => void }[] = []
  private inFlightRequests = new Set<InFlightRequest>()

  constructor (private readonly options: FaultRunOptions) {
    this.random = createRandom(options.seed)
    this.net = new SimulatedNetwork(this.random, findDelayMs)
    this.doc = options.doc
    const contract = options.doc.contracts[0]!
    this.ledger = new CapMonitor(contract.rate, contract.burst)
  }

  get inFlight (): number {
    return [...this.inFlightRequests].filter(({ endsAtMs }) => endsAtMs > this.net.nowMs).length
  }

  /** Starts all hosts and advances the time past the quarantine and, with a long `settleMs`, the retention time. */
  async start (settleMs: number): Promise<void> {
    for (const { name } of this.doc.hosts) this.startNode(name)
    for (let passed = 0; passed < settleMs; passed += 500) {
      this.sendViews()
      await this.net.advance(500, undefined, 100)
    }
    this.net.faults.drop = this.options.drop
    this.net.faults.duplicate = this.options.drop
    this.net.faults.late = this.options.drop
    this.net.faults.lateMs = 5_000
  }

  /** Runs under load and faults. */
  async run (seconds = this.options.seconds): Promise<void> {
    const endMs = this.net.nowMs + seconds * 1_000
    let hotHost = this.pickHost()
    await this.net.advance(endMs - this.net.nowMs, () => {
      const { nowMs } = this.net
      if (nowMs % 500 === 0) this.sendViews()
      if (nowMs % 100 === 0) this.injectFaults()
      if (nowMs % cycleMs === 0) hotHost = this.pickHost()
      this.sendLoad(nowMs % cycleMs, hotHost)
      if (this.random() < 0.02) this.sendKeyedRequest(this.pickHost())
      this.runTimers(nowMs)
    })
  }

  /**
   * In each cycle the buckets fill during an idle phase, then all hosts use their whole burst at once and are overloaded,
   * and then one host receives most of the load. The sums thus reach the caps, so any excess is detected.
   */
  private sendLoad (phaseMs: number, hotHost: string): void {
    if (phaseMs < 1_000) return
    if (phaseMs === 1_000) for (const { name } of this.doc.hosts) for (let count = 0; count < 10; count += 1) this.sendRequest(name)
    if (phaseMs === 3_500) for (let count = 0; count < 60; count += 1) this.sendRequest(hotHost)
    const isEvenLoad = phaseMs < 3_000
    const perMs = this.options.load * (isEvenLoad ? 3 : 1) / 1_000
    if (this.random() < perMs) this.sendRequest(isEvenLoad || this.random() < 0.3 ? this.pickHost() : hotHost)
  }

  /** Distributes a configuration to every host, each with a random delay of up to `maxDelayMs`. */
  distributeConfig (doc: ConfigDoc, maxDelayMs: number): void {
    this.doc = doc
    for (const node of this.nodes.values()) this.schedule(this.random() * maxDelayMs, node, () => this.apply(node, doc))
  }

  /** Returns whether every running host has applied the current configuration. */
  isSettled (): boolean {
    return [...this.nodes.values()].every(({ share }) => share.appliedVersion >= this.doc.version)
  }

  private apply (node: EntryNode, doc: ConfigDoc): void {
    node.version = Math.max(node.version, doc.version)
    node.share.setConfig(doc)
    node.claims.setConfig(doc)
  }

  private startNode (name: string): void {
    const identity: PeerIdentity = { name, role: 'entry', incarnation: this.net.nowMs + 1 }
    this.net.start(identity, (messenger) => {
      const node = new EntryNode(this.net, identity, messenger)
      this.nodes.set(name, node)
      this.apply(node, this.doc)
      return node
    })
  }

  /** Sends each host a view with the members of the previous round; a paused or crashed host appears with its last state. */
  private sendViews (): void {
    for (const node of this.nodes.values()) {
      if (!this.net.isRunning(node.identity.name) || this.random() < this.options.drop) continue
      node.seq += 1
      const members = [...this.lastMembers.values()]
      const view = { seq: node.seq, contactAgeMs: 0, configVersion: node.version, members, isFirstStart: false, leavingEndpoints: [], leavingHosts: [] }
      node.share.setView(view)
      node.claims.setView(view)
    }
    for (const node of this.nodes.values()) if (this.net.isRunning(node.identity.name)) this.lastMembers.set(node.identity.name, createMember(node))
  }

  private injectFaults (): void {
    const { crash, pause, cut } = this.options
    const name = this.pickHost()
    if (this.random() < crash / 10) this.crash(name)
    if (this.random() < pause / 10 && this.net.isRunning(name)) this.pause(name)
    if (this.random() < cut / 10) {
      this.counts.cuts += 1
      const other = this.pickHost()
      this.net.setCut(name, other, true)
      if (this.random() < 0.7) this.net.setCut(other, name, true)
    }
    if (this.random() < 0.03) this.net.healCuts()
  }

  private crash (name: string): void {
    const node = this.nodes.get(name)
    if (node === undefined) return
    this.counts.crashes += 1
    this.net.crash(name)
    this.nodes.delete(name)
    this.inFlightRequests = new Set([...this.inFlightRequests].filter((request) => request.node !== node))
    this.recoveries.push({ atMs: this.net.nowMs + 50 + this.random() ** 2 * 3_000, run: () => this.startNode(name) })
  }

  private pause (name: string): void {
    this.counts.pauses += 1
    this.net.setPaused(name, true)
    this.recoveries.push({ atMs: this.net.nowMs + this.random() ** 2 * 15_000, run: () => this.net.setPaused(name, false) })
  }

  private sendRequest (host: string): void {
    const node = this.nodes.get(host)
    if (node === undefined || !this.net.isRunning(host)) return
    const { nowMs } = this.net
    const isUpload = this.random() < 0.03
    const deadlineAtMs = nowMs + (isUpload ? 60_000 : 500 + this.random() * 9_000)
    const request = { customer: 'gyms', workClass: isUpload ? 'bulk' : 'interactive', deadlineAtMs, signal: new AbortController().signal } as const
    node.share.admit(request).then((result) => {
      if (result.isErr()) {
        this.counts.refused += 1
        return
      }
      this.ledger.admit(this.net.nowMs)
      const lengthMs = isUpload ? this.random() * 60_000 : this.random() * this.options.serviceMs
      this.startRequest(node, result.value, Math.min(deadlineAtMs, this.net.nowMs + lengthMs))
    })
  }

  private startRequest (node: EntryNode, permit: Permit, endsAtMs: number): void {
    const region = regions[Math.floor(this.random() * 1.3)]!
    const isEntered = permit.enterRegion(region)
    const request = { node, permit, endsAtMs, region: isEntered ? region : '', released: false }
    this.inFlightRequests.add(request)
    this.ledger.worstInFlight = Math.max(this.ledger.worstInFlight, this.inFlight)
    if (isEntered) this.worstRegion = Math.max(this.worstRegion, this.countRegion(region))
    this.schedule(endsAtMs - this.net.nowMs, node, () => permit.release())
  }

  private countRegion (region: string): number {
    return [...this.inFlightRequests].filter((request) => request.region === region && request.endsAtMs > this.net.nowMs).length
  }

  /** Sends a request with a new or a recent key, so that claims for one key collide. */
  private sendKeyedRequest (host: string): void {
    const node = this.nodes.get(host)
    if (node === undefined || !this.net.isRunning(host)) return
    const key = this.pickKey(node)
    const record = this.keys.get(key) ?? { runs: 0, granted: 0, falseNotRun: false }
    this.keys.set(key, record)
    const deadlineAtMs = this.net.nowMs + 1_000 + this.random() * 8_000
    node.claims.claim({ customer: 'gyms', key, fingerprint: key, deadlineAtMs }).then((result) => {
      if (result.isErr()) {
        if (result.error.outcome === 'not-run') record.falseNotRun ||= record.runs > 0
        else this.counts.uncertain += 1
      } else if (result.value.kind === 'done') this.counts.replayed += 1
      else this.executeClaim(node, record, result.value.claim)
    })
  }

  private pickKey (node: EntryNode): string {
    const recentKeys = [...this.keys.keys()].slice(-8)
    if (recentKeys.length > 0 && this.random() < 0.7) return recentKeys[Math.floor(this.random() * recentKeys.length)]!
    const isBound = this.random() < 0.5
    return `${isBound ? node.claims.keyPrefix : 'order-'}${this.keys.size}`
  }

  private executeClaim (node: EntryNode, record: KeyRecord, claim: ClaimHandle): void {
    record.granted += 1
    this.counts.granted += 1
    this.schedule(this.random() ** 3 * 3_000, node, () => {
      if (!claim.isUsable() || this.random() < 0.2) {
        record.falseNotRun ||= record.runs > 0
        claim.settleNotRun()
        return
      }
      record.runs += 1
      this.schedule(this.random() * 3_000, node, () => {
        if (this.random() < 0.3) claim.settleUnknown()
        else claim.settleDone({ status: 200, headers: {}, body: new Uint8Array(8) })
      })
    })
  }

  /** Schedules work in a host's process; it waits while the host is paused and is dropped when the process has crashed. */
  private schedule (delayMs: number, node: EntryNode, run: () => void): void {
    this.timers.push({ atMs: this.net.nowMs + delayMs, node, run })
  }

  private runTimers (nowMs: number): void {
    const due = this.timers.filter(({ atMs, node }) => atMs <= nowMs && (this.net.isRunning(node.identity.name) || this.nodes.get(node.identity.name) !== node))
    for (const timer of due) {
      this.timers.splice(this.timers.indexOf(timer), 1)
      if (this.nodes.get(timer.node.identity.name) === timer.node) timer.run()
    }
    for (const recovery of this.recoveries.filter(({ atMs }) => atMs <= nowMs)) {
      this.recoveries.splice(this.recoveries.indexOf(recovery), 1)
      recovery.run()
    }
    for (const request of this.inFlightRequests) if (request.endsAtMs <= nowMs) this.inFlightRequests.delete(request)
  }

  private pickHost (): string {
    return this.doc.hosts[Math.floor(this.random() * this.doc.hosts.length)]!.name
  }
}

function createMember ({ identity, share, seq }: EntryNode): Member {
  const digest = {
    host: identity.name,
    entryIncarnation: identity.incarnation,
    seq,
    appliedVersion: share.appliedVersion,
    serving: true,
    leaving: false,
    inFlight: 0,
    loads: [],
    leavingEndpoints: [],
    drainInFlight: {},
    uses: []
  }
  return { host: identity.name, zone: identity.name.charAt(0), incarnation: identity.incarnation, seq, state: 'alive', configVersion: share.appliedVersion, digest }
}
