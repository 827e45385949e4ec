import { DialMap } from '../../src/common/DialMap.js'
import { SystemClock } from '../../src/common/SystemClock.js'
import type { Exchange } from '../../src/membership/Exchange.js'
import { Membership } from '../../src/membership/Membership.js'
import { MemberTable } from '../../src/membership/MemberTable.js'
import type { Topology } from '../../src/membership/Topology.js'
import type { HostSpec } from '../../src/model/HostSpec.js'
import { encodeFrame } from '../../src/wire/encodeFrame.js'
import { FrameClient } from '../../src/wire/FrameClient.js'
import { FrameServer } from '../../src/wire/FrameServer.js'
import type { Message } from '../../src/wire/Message.js'
import { createSlopeDigest } from './createSlopeDigest.js'

const clusterKey = 'slope-cluster-key-that-is-long-enough'
/** Active customers per digest. A real digest has up to 64, but with more the process is too slow for the larger zones. */
const activeCustomers = 4
const responseTimeoutMs = 1_000
/** One frame in this many is encoded to estimate the bytes sent, so that the estimate adds little processor time. */
const framesPerSample = 16

/** Runs the membership protocol of one agent over real frames, without the platform, configuration and HTTP. */
export class SlopeAgent {
  /** Total size of the frames sent, estimated from samples. */
  sentBytes = 0
  sentFrames = 0
  private readonly clock = new SystemClock()
  private readonly membership: Membership
  private readonly client: FrameClient
  private readonly server: FrameServer
  private seq = 0

  constructor (private readonly spec: HostSpec, private readonly topology: Topology) {
    const self = { name: spec.name, role: 'agent', incarnation: Date.now() } as const
    this.membership = new Membership(new MemberTable({ host: spec.name, zone: spec.zone, incarnation: self.incarnation }), self.incarnation)
    this.membership.setTopology(topology)
    this.client = new FrameClient({ self, clusterKey, dial: new DialMap(), clock: this.clock, onMessage: () => undefined })
    this.server = new FrameServer({ self, clusterKey, onMessage: (message, peer) => this.handleHeartbeat(message, peer.name) })
  }

  async listen (): Promise<void> {
    await this.server.listen(this.spec.address, this.spec.ports.agent)
  }

  /** Replaces this agent's digest, as an entry process under load does on each tick. */
  changeDigest (): void {
    this.seq += 1
    this.membership.table.setReport({ digest: createSlopeDigest(this.spec.name, this.seq, activeCustomers) })
  }

  tick (): void {
    for (const decision of this.membership.step(this.clock.nowMs())) {
      if (decision.kind === 'heartbeat') this.sendHeartbeat(decision.host, decision.address).catch(() => {})
    }
  }

  countAlive (): number {
    return this.membership.table.listMembers(this.clock.nowMs()).filter(({ state }) => state === 'alive').length
  }

  async close (): Promise<void> {
    this.client.close()
    await this.server.close()
  }

  private async sendHeartbeat (host: string, fallbackAddress: string): Promise<void> {
    const address = this.topology.addresses.get(host) ?? fallbackAddress
    const message = { t: 'heartbeat', ...this.membership.buildExchange(host, this.clock.nowMs()) }
    this.recordSent(message)
    const response = await this.client.request(address, message, responseTimeoutMs)
    if (response.isOk()) this.membership.receive(host, response.value as unknown as Exchange, this.clock.nowMs(), true)
  }

  private handleHeartbeat (message: Message, peer: string): Message {
    const exchange = message as unknown as Exchange
    this.membership.receive(peer, exchange, this.clock.nowMs(), false)
    const response = { t: 'heartbeat_ack', ...this.membership.buildExchange(peer, this.clock.nowMs(), exchange.summary) }
    this.recordSent(response)
    return response
  }

  private recordSent (message: Message): void {
    this.sentFrames += 1
    if (this.sentFrames % framesPerSample === 0) this.sentBytes += encodeFrame(message).length * framesPerSample
  }
}
