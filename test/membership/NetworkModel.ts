import type { MembershipAction } from '../../src/membership/MembershipAction.js'
import { Membership } from '../../src/membership/Membership.js'
import { MemberTable } from '../../src/membership/MemberTable.js'
import { Topology } from '../../src/membership/Topology.js'
import type { Member } from '../../src/model/Member.js'
import { sampleDeployment } from '../control/sampleDeployment.js'

/** A message in transit. */
interface PendingDelivery {
  readonly atMs: number
  readonly run: () => void
}

const startWallMs = 1_000_000
const stepMs = 50

/** Connects the membership protocol of several hosts through a simulated network with simulated time; uses no sockets and no clock. */
export class NetworkModel {
  nowMs = 0
  frames = 0
  rows = 0
  /** Decides whether a message from one host reaches another. */
  isDelivered: (from: string, to: string) => boolean = () => true
  readonly paused = new Set<string>()
  private readonly memberships = new Map<string, Membership>()
  private readonly topology: Topology
  private deliveries: PendingDelivery[] = []

  constructor (readonly hosts: readonly string[], private readonly delayMs = 5) {
    this.topology = new Topology(sampleDeployment(hosts))
    for (const host of hosts) this.start(host)
  }

  /** Starts or restarts a host with the configuration and an empty member table. */
  start (host: string, incarnation = startWallMs + this.nowMs): Membership {
    const membership = new Membership(new MemberTable({ host, zone: host.slice(0, host.lastIndexOf('-')), incarnation }), incarnation)
    membership.setTopology(this.topology)
    membership.setHeldConfig({ lineage: 'sample', version: 1, writeId: 'w' })
    this.memberships.set(host, membership)
    this.paused.delete(host)
    return membership
  }

  get (host: string): Membership {
    return this.memberships.get(host)!
  }

  findMember (host: string, other: string): Member | undefined {
    return this.get(host).table.listMembers(this.nowMs).find((member) => member.host === other)
  }

  findState (host: string, other: string): string {
    return this.get(host).table.findState(other, this.nowMs)
  }

  /** Advances the simulated time. */
  run (ms: number): void {
    const endMs = this.nowMs + ms
    while (this.nowMs < endMs) {
      this.nowMs += stepMs / 10
      const due = this.deliveries.filter(({ atMs }) => atMs <= this.nowMs)
      this.deliveries = this.deliveries.filter(({ atMs }) => atMs > this.nowMs)
      for (const { run } of due) run()
      if (Math.round(this.nowMs) % stepMs !== 0) continue
      for (const [host, membership] of this.memberships) {
        if (!this.paused.has(host)) this.execute(host, membership.step(this.nowMs))
      }
    }
  }

  /** Advances until `test` returns true; returns the elapsed time, or Infinity after `limitMs`. */
  runUntil (test: () => boolean, limitMs: number): number {
    const startMs = this.nowMs
    while (!test()) {
      if (this.nowMs - startMs >= limitMs) return Infinity
      this.run(stepMs)
    }
    return this.nowMs - startMs
  }

  /** Sends the urgent changes of a host at once, as its agent does. */
  flush (host: string): void {
    this.execute(host, this.get(host).planUrgentHeartbeats(this.nowMs))
  }

  private execute (from: string, decisions: readonly MembershipAction[]): void {
    for (const decision of decisions) {
      if (decision.kind === 'heartbeat') this.heartbeat(from, decision.host)
      else if (decision.kind === 'probe') for (const helper of decision.helpers) this.probe(from, helper, decision.host)
      else if (decision.kind === 'state') this.flush(from)
    }
  }

  private heartbeat (from: string, to: string): void {
    const exchange = this.get(from).buildExchange(to, this.nowMs)
    this.frames += 1
    this.rows += exchange.rows.length
    this.send(from, to, () => {
      const result = this.get(to).receive(from, exchange, this.nowMs, false)
      const ack = this.get(to).buildExchange(from, this.nowMs, exchange.summary)
      this.send(to, from, () => {
        if (this.get(from).receive(to, ack, this.nowMs, true).urgent) this.flush(from)
      })
      if (result.urgent) this.flush(to)
    })
  }

  private probe (from: string, helper: string, target: string): void {
    this.send(from, helper, () => this.send(helper, target, () => this.send(target, helper, () => this.send(helper, from, () =>
      this.get(from).recordProbeResult(target, true, this.nowMs)))))
  }

  private send (from: string, to: string, run: () => void): void {
    if (!this.isDelivered(from, to) || this.paused.has(from)) return
    this.deliveries.push({
      atMs: this.nowMs + this.delayMs,
      run: () => { if (!this.paused.has(to)) run() }
    })
  }
}
