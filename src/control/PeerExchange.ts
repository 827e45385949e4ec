import type { Result } from 'neverthrow'
import { match } from 'ts-pattern'
import type { Clock } from '../common/Clock.js'
import type { DialMap } from '../common/DialMap.js'
import type { Failure } from '../common/Failure.js'
import type { Logger } from '../common/Logger.js'
import type { MembershipAction } from '../membership/MembershipAction.js'
import type { Exchange } from '../membership/Exchange.js'
import { exchangeSchema } from '../membership/exchangeSchema.js'
import type { Membership } from '../membership/Membership.js'
import { membershipTimes as times } from '../membership/membershipTimes.js'
import { Topology } from '../membership/Topology.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import { FrameClient } from '../wire/FrameClient.js'
import type { FrameConnection } from '../wire/FrameConnection.js'
import type { Message } from '../wire/Message.js'
import type { PeerIdentity } from '../wire/PeerIdentity.js'
import type { ConfigHolder } from './ConfigHolder.js'
import { decodeConfig } from './decodeConfig.js'
import { encodeConfig } from './encodeConfig.js'
import type { HeldConfig } from './HeldConfig.js'

interface PeerExchangeOptions {
  readonly self: PeerIdentity
  readonly clusterKey: string
  readonly dial: DialMap
  readonly clock: Clock
  readonly log: Logger
  readonly membership: Membership
  readonly holder: ConfigHolder
  /** Returns false while a configuration of a peer may be older than the one that this agent is about to read. */
  readonly mayRelyOnPeers: () => boolean
  /** Addresses of agents to contact while there is no configuration or no contact with other agents. */
  readonly seeds: readonly string[]
  /** Called when members or links changed; `urgent` when local processes must receive the change at once. */
  readonly onChange: (urgent: boolean) => void
  /** Called when this agent itself suspects a host. */
  readonly onSuspect: () => void
  readonly onProbe: (result: 'alive' | 'silent') => void
  readonly onRefusedConfig: (relation: string) => void
  readonly onProtocolFailure: (failure: Failure) => void
}

/** Sends a request to one agent. */
type SendRequest = (message: Message, timeoutMs: number) => Promise<Result<Message, Failure>>

const heartbeatTimeoutMs = 1_000
const probeTimeoutMs = 450
const pullTimeoutMs = 2_000
const maxSeedsPerHeartbeat = 8
const isolationTimeoutMs = 2_000

/** Executes the decisions of the membership policy by sending frames to other agents, and exchanges configurations with them. */
export class PeerExchange {
  private readonly client: FrameClient
  private urgentTimer: NodeJS.Timeout | undefined
  private lastSeedContactMs = -Infinity
  private seedCursor = 0
  private isPulling = false
  private encodedConfig: { readonly held: HeldConfig, readonly data: Buffer } | undefined
  private topology = new Topology(undefined)

  constructor (private readonly options: PeerExchangeOptions) {
    this.client = new FrameClient({
      ...options,
      onMessage: async (message, peer) => await this.receive(message, peer, undefined),
      onClose: (_, failure) => { if (failure !== undefined) options.onProtocolFailure(failure) }
    })
  }

  setConfig (doc: ConfigDoc): void {
    this.topology = new Topology(doc)
    this.options.membership.setTopology(this.topology)
    this.client.retain(new Set([...this.topology.addresses.values(), ...this.options.seeds]))
  }

  tick (): void {
    const nowMs = this.options.clock.nowMs()
    this.execute(this.options.membership.step(nowMs))
    this.contactSeeds(nowMs)
  }

  /** Schedules the sending of urgent changes; changes within a short delay share a frame. */
  flushSoon (): void {
    this.urgentTimer ??= setTimeout(() => this.flush(), times.urgentMs)
  }

  flush (): void {
    clearTimeout(this.urgentTimer)
    this.urgentTimer = undefined
    this.execute(this.options.membership.planUrgentHeartbeats(this.options.clock.nowMs()))
  }

  /** Sends a configuration to all peers without waiting for their heartbeats. */
  push (held: HeldConfig): void {
    const message = { t: 'config_push', data: this.encode(held) }
    for (const host of this.options.membership.listPeers()) {
      const address = this.topology.addresses.get(host)
      if (address !== undefined) this.client.notify(address, message)
    }
  }

  /** Sends a request to the agent of a host. */
  async request (host: string, message: Message, timeoutMs: number): Promise<Result<Message, Failure> | undefined> {
    const address = this.topology.addresses.get(host)
    return address === undefined ? undefined : await this.client.request(address, message, timeoutMs)
  }

  close (): void {
    clearTimeout(this.urgentTimer)
    this.client.close()
  }

  /** Handles a frame from another agent; `connection` is set when the other agent opened the connection. */
  async receive (message: Message, peer: PeerIdentity, connection: FrameConnection | undefined): Promise<Message | undefined> {
    if (message.t === 'heartbeat') return this.handleHeartbeat(message, peer, connection)
    if (message.t === 'indirect_probe') return { t: 'indirect_probe_result', alive: await this.probeDirectly(message.host) }
    if (message.t === 'config_push') this.receiveConfig(message.data)
    if (message.t === 'config_pull') return this.handlePull()
    return undefined
  }

  private handleHeartbeat (message: Message, peer: PeerIdentity, connection: FrameConnection | undefined): Message | undefined {
    const exchange = parseExchange(message, peer.name)
    if (exchange === undefined || peer.name === this.options.self.name) return undefined
    this.applyExchange(peer.name, exchange, false)
    const sendRequest: SendRequest | undefined = connection === undefined
      ? undefined
      : async (request, timeoutMs) => await connection.request(request, timeoutMs)
    this.compareVersions(exchange, sendRequest)
    return { t: 'heartbeat_ack', ...this.options.membership.buildExchange(peer.name, this.options.clock.nowMs(), exchange.summary) }
  }

  private execute (decisions: readonly MembershipAction[]): void {
    for (const decision of decisions) {
      match(decision)
        .with({ kind: 'heartbeat' }, ({ address, host }) => { this.sendHeartbeat(address, host).catch((err: unknown) => this.logCrash(err)) })
        .with({ kind: 'probe' }, ({ host, helpers }) => { this.probe(host, helpers).catch((err: unknown) => this.logCrash(err)) })
        .with({ kind: 'state' }, ({ host, state }) => this.reportState(host, state))
        .with({ kind: 'link' }, ({ host, down }) => this.reportLink(host, down))
        .exhaustive()
    }
  }

  private reportState (host: string, state: 'suspect' | 'dead'): void {
    this.options.log.warn('member-state', { member: host, state })
    if (state === 'suspect') this.options.onSuspect()
    this.options.onChange(true)
    this.flushSoon()
  }

  private reportLink (host: string, down: boolean): void {
    this.options.log.warn('member-link', { member: host, down })
    this.options.onChange(true)
  }

  private async sendHeartbeat (address: string, host: string | undefined): Promise<void> {
    const { membership, clock, self } = this.options
    const exchange = membership.buildExchange(host, clock.nowMs())
    const answer = await this.client.request(address, { t: 'heartbeat', ...exchange }, heartbeatTimeoutMs)
    if (answer.isErr() || answer.value.t !== 'heartbeat_ack') return
    const reply = parseExchange(answer.value, host)
    if (reply === undefined || reply.row[0] === self.name) return
    this.applyExchange(reply.row[0], reply, true)
    this.compareVersions(reply, async (message, timeoutMs) => await this.client.request(address, message, timeoutMs))
  }

  private applyExchange (host: string, exchange: Exchange, isReply: boolean): void {
    const effect = this.options.membership.receive(host, exchange, this.options.clock.nowMs(), isReply)
    if (effect.urgent) this.flushSoon()
    if (effect.changed) this.options.onChange(effect.urgent)
  }

  private async probe (host: string, helpers: readonly string[]): Promise<void> {
    const { membership, clock, onProbe } = this.options
    const results = await Promise.all(helpers.map(async (helper) => {
      const answer = await this.request(helper, { t: 'indirect_probe', host }, probeTimeoutMs)
      const alive = answer?.isOk() === true && answer.value.alive === true
      // The first success is recorded at once; while slow helpers are awaited, the host might already become suspect.
      if (alive) membership.recordProbeResult(host, true, clock.nowMs())
      return alive
    }))
    onProbe(results.includes(true) ? 'alive' : 'silent')
  }

  /** Probes a host on behalf of another agent. */
  private async probeDirectly (host: unknown): Promise<boolean> {
    const address = typeof host === 'string' ? this.topology.addresses.get(host) : undefined
    if (address === undefined) return false
    const exchange = this.options.membership.buildExchange(undefined, this.options.clock.nowMs())
    const answer = await this.client.request(address, { t: 'heartbeat', ...exchange }, probeTimeoutMs - 50)
    return answer.isOk() && answer.value.t === 'heartbeat_ack'
  }

  private contactSeeds (nowMs: number): void {
    const { membership, seeds, holder } = this.options
    const isolated = nowMs - membership.contactMs > isolationTimeoutMs
    if (seeds.length === 0 || nowMs - this.lastSeedContactMs < times.heartbeatMs || (holder.held !== undefined && !isolated)) return
    this.lastSeedContactMs = nowMs
    for (let i = 0; i < Math.min(maxSeedsPerHeartbeat, seeds.length); i += 1) {
      this.seedCursor = (this.seedCursor + 1) % seeds.length
      this.sendHeartbeat(seeds[this.seedCursor]!, undefined).catch((err: unknown) => this.logCrash(err))
    }
  }

  /** Pulls a newer configuration from the agent that announced it; refuses a foreign one. */
  private compareVersions (exchange: Exchange, sendRequest: SendRequest | undefined): void {
    const { holder } = this.options
    if (exchange.version === 0) return
    const relation = holder.compare(exchange)
    if (relation === 'foreign') return this.reportRefusedConfig(relation, exchange)
    holder.observeVersion(exchange.version)
    if (relation !== 'newer' || sendRequest === undefined || this.isPulling || !this.options.mayRelyOnPeers()) return
    this.isPulling = true
    this.pull(sendRequest).catch((err: unknown) => this.logCrash(err)).finally(() => { this.isPulling = false })
  }

  private async pull (sendRequest: SendRequest): Promise<void> {
    const answer = await sendRequest({ t: 'config_pull' }, pullTimeoutMs)
    if (answer.isOk()) this.receiveConfig(answer.value.data)
  }

  private receiveConfig (data: unknown): void {
    const held = this.options.mayRelyOnPeers() ? decodeConfig(data) : undefined
    if (held === undefined) return
    const relation = this.options.holder.offer(held)
    if (relation === 'foreign') this.reportRefusedConfig(relation, { lineage: held.doc.lineage, version: held.doc.version, writeId: held.writeId })
  }

  private reportRefusedConfig (relation: string, { lineage, version, writeId }: Pick<Exchange, 'lineage' | 'version' | 'writeId'>): void {
    this.options.onRefusedConfig(relation)
    this.options.log.warn('config-refused', { relation, lineage, version, writeId })
  }

  private handlePull (): Message {
    const { held } = this.options.holder
    return held === undefined ? { t: 'config' } : { t: 'config', data: this.encode(held) }
  }

  private encode (held: HeldConfig): Buffer {
    if (this.encodedConfig?.held !== held) this.encodedConfig = { held, data: encodeConfig(held) }
    return this.encodedConfig.data
  }

  private logCrash (err: unknown): void {
    this.options.log.error('exchange-failed', { message: err instanceof Error ? err.stack ?? err.message : 'unknown' })
  }
}

/** Parses an exchange; returns undefined when it is malformed or its row is not that of `host`. */
function parseExchange (message: Message, host: string | undefined): Exchange | undefined {
  const parsed = exchangeSchema.safeParse(message)
  if (!parsed.success || (host !== undefined && parsed.data.row[0] !== host)) return undefined
  return parsed.data as Exchange
}
