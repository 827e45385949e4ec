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
/** More would make one process too slow for the larger sizes; a real digest has up to 64. */
const busyCustomers = 4
const answerTimeoutMs = 1_000
/** Every how many frames the size is taken, so that counting bytes costs little. */
const sampleEvery = 16

/** Membership policy and frames of one agent, without platform, configuration and HTTP. */
export class SlopeAgent {
  /** Estimated bytes of the frames sent, and their number. */
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
    this.server = new FrameServer({ self, clusterKey, onMessage: (message, peer) => this.answer(message, peer.name) })
  }

  async listen (): Promise<void> {
    await this.server.listen(this.spec.address, this.spec.ports.agent)
  }

  /** Changes the own digest, as an entry process with traffic does on each tick. */
  changeDigest (): void {
    this.seq += 1
    this.membership.table.setReport({ digest: createSlopeDigest(this.spec.name, this.seq, busyCustomers) })
  }

  tick (): void {
    for (const decision of this.membership.step(this.clock.nowMs())) {
      if (decision.kind === 'heartbeat') this.beat(decision.host, decision.address).catch(() => {})
    }
  }

  countAlive (): number {
    return this.membership.table.listMembers(this.clock.nowMs()).filter(({ state }) => state === 'alive').length
  }

  async close (): Promise<void> {
    this.client.close()
    await this.server.close()
  }

  private async beat (host: string, fallback: string): Promise<void> {
    const address = this.topology.addresses.get(host) ?? fallback
    const message = { t: 'heartbeat', ...this.membership.buildExchange(host, this.clock.nowMs()) }
    this.count(message)
    const answer = await this.client.request(address, message, answerTimeoutMs)
    if (answer.isOk()) this.membership.receive(host, answer.value as unknown as Exchange, this.clock.nowMs(), true)
  }

  private answer (message: Message, peer: string): Message {
    const exchange = message as unknown as Exchange
    this.membership.receive(peer, exchange, this.clock.nowMs(), false)
    const answer = { t: 'heartbeat_ack', ...this.membership.buildExchange(peer, this.clock.nowMs(), exchange.summary) }
    this.count(answer)
    return answer
  }

  private count (message: Message): void {
    this.sentFrames += 1
    if (this.sentFrames % sampleEvery === 0) this.sentBytes += encodeFrame(message).length * sampleEvery
  }
}
