import type { ConfigDoc } from '../../src/model/ConfigDoc.js'
import type { Member } from '../../src/model/Member.js'
import { ShareService } from '../../src/share/ShareService.js'
import { CapMonitor } from '../model/CapMonitor.js'
import { createRandom } from '../model/createRandom.js'
import { findDelayMs } from '../model/createDoc.js'
import { SimulatedNetwork } from '../model/SimulatedNetwork.js'

interface InFlightRequest {
  readonly host: string
  readonly endsAtMs: number
  readonly release: () => void
}

/** Runs real share services on the simulated network under a given load, and checks the cap from outside the services. */
export class ShareCluster {
  readonly net = new SimulatedNetwork(createRandom(1), findDelayMs)
  readonly services = new Map<string, ShareService>()
  readonly ledger: CapMonitor
  admitted = 0
  refused = 0
  maxWaitMs = 0
  readonly refusals = new Map<string, number>()
  maxInFlight = 0
  private readonly incarnations = new Map<string, number>()
  private inFlightRequests: InFlightRequest[] = []

  constructor (readonly doc: ConfigDoc) {
    const contract = doc.contracts[0]!
    this.ledger = new CapMonitor(contract.rate, contract.burst)
  }

  /** Starts all hosts and waits until their quarantine has ended. */
  async start (): Promise<void> {
    for (const { name } of this.doc.hosts) this.startHost(name, 1)
    this.sendViews()
    await this.net.advance(20_000, undefined, 10)
  }

  startHost (name: string, incarnation: number): void {
    this.incarnations.set(name, incarnation)
    this.net.start({ name, role: 'entry', incarnation }, (messenger) => {
      const service = new ShareService({ host: name, incarnation, clock: this.net.clock, messenger })
      service.setConfig(this.doc)
      this.services.set(name, service)
      return service
    })
  }

  /** Sends every host a view with the current incarnations. */
  sendViews (): void {
    const members = this.doc.hosts.map(({ name, zone }): Member => {
      const entryIncarnation = this.incarnations.get(name) ?? 1
      const digest = {
        host: name,
        entryIncarnation,
        seq: 1,
        appliedVersion: this.services.get(name)?.appliedVersion ?? 0,
        serving: true,
        leaving: false,
        inFlight: 0,
        loads: [],
        leavingEndpoints: [],
        drainInFlight: {},
        uses: []
      }
      return { host: name, zone, incarnation: entryIncarnation, seq: 1, state: 'alive', configVersion: 1, digest }
    })
    for (const service of this.services.values()) {
      service.setView({ seq: 1, contactAgeMs: 0, configVersion: 1, isFirstStart: false, members, leavingEndpoints: [], leavingHosts: [] })
    }
  }

  /** Ends a host's process and aborts its requests in flight. */
  crash (name: string): void {
    this.net.crash(name)
    this.services.delete(name)
    this.inFlightRequests = this.inFlightRequests.filter(({ host }) => host !== name)
  }

  setIsolated (name: string, isIsolated = true): void {
    for (const other of this.doc.hosts) {
      this.net.setCut(name, other.name, isIsolated)
      this.net.setCut(other.name, name, isIsolated)
    }
  }

  /** Runs for `ms` and sends `perSecond` requests per second to each of `hosts`. */
  async run (ms: number, hosts: readonly string[], perSecond: number, serviceMs: number, deadlineMs = 8_000): Promise<void> {
    const startMs = this.net.nowMs
    let sent = 0
    await this.net.advance(ms, () => {
      this.endRequests()
      for (; sent < (this.net.nowMs - startMs) * perSecond / 1_000; sent += 1) for (const host of hosts) this.send(host, serviceMs, deadlineMs)
    })
  }

  send (host: string, serviceMs: number, deadlineMs = 8_000): void {
    const service = this.services.get(host)
    if (service === undefined || !this.net.isRunning(host)) return
    const startMs = this.net.nowMs
    const deadlineAtMs = startMs + deadlineMs
    const request = { customer: 'gyms', workClass: 'interactive', deadlineAtMs, signal: new AbortController().signal } as const
    service.admit(request).then((result) => {
      const { nowMs } = this.net
      if (result.isErr()) {
        this.refused += 1
        this.refusals.set(result.error.name, (this.refusals.get(result.error.name) ?? 0) + 1)
        return
      }
      this.admitted += 1
      this.ledger.admit(nowMs)
      this.maxWaitMs = Math.max(this.maxWaitMs, nowMs - startMs)
      this.inFlightRequests.push({ host, endsAtMs: Math.min(nowMs + serviceMs, deadlineAtMs), release: () => result.value.release() })
      this.maxInFlight = Math.max(this.maxInFlight, this.inFlightRequests.filter(({ endsAtMs }) => endsAtMs > nowMs).length)
    })
  }

  private endRequests (): void {
    const { nowMs } = this.net
    const ended = this.inFlightRequests.filter(({ endsAtMs, host }) => endsAtMs <= nowMs && this.net.isRunning(host))
    for (const request of ended) request.release()
    this.inFlightRequests = this.inFlightRequests.filter((request) => !ended.includes(request))
  }
}
