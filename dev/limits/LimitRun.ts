import { match } from 'ts-pattern'
import { ManualClock } from '../../src/common/ManualClock.js'
import type { Heartbeat } from '../../src/peers/Heartbeat.js'
import type { HostRecord } from '../../src/peers/HostRecord.js'
import { peerLimits } from '../../src/peers/peerLimits.js'
import { SeededRandom } from '../common/SeededRandom.js'
import type { CreateLimitProcess } from './CreateLimitProcess.js'
import type { LimitBound } from './LimitBound.js'
import type { LimitEvent } from './LimitEvent.js'
import { LimitLog } from './LimitLog.js'
import { limitRunSizes } from './limitRunSizes.js'
import type { LimitProcess } from './LimitProcess.js'
import type { LimitTrace } from './LimitTrace.js'

/** A host of the run over its processes. */
interface ModelHost {
  readonly index: number
  isMember: boolean
  /** The process that runs or is paused; undefined while there is none. */
  process: LimitProcess | undefined
  startsAtMs: number
  pausedUntilMs: number
  /** Time of the last step in which it ran, at which its entry in the store was renewed. */
  lastRunMs: number
  /** Demand of the host in proportion to others, and what is left of it from the steps before. */
  weight: number
  credit: number
  /** Time since which it has passed on responses that name the present limit; undefined when it hasn't since its last restart, pause or cut. */
  namedSinceMs: number | undefined
}

/** A response on its way to the process that sent the request. */
interface Response {
  readonly dueMs: number
  readonly host: ModelHost
  readonly process: LimitProcess
  /** Rate limit that it names. */
  readonly perSecond: number | undefined
}

/** A heartbeat on its way. */
interface Delivery {
  readonly to: number
  readonly dueMs: number
  readonly heartbeat: Heartbeat
}

/** A trouble that lasts for a time. */
type Trouble = Extract<LimitEvent, { forMs: number }>

/** Requests of callers in a second, for the whole system. */
const requestsPerSecond = 160
/** Time in ms of a heartbeat on its way without trouble, and of a response. */
const travelMs = 50
/** Time in ms after which the entry of a host that doesn't run is gone from the store's table. */
const entryTtlMs = 10_000
/** Time in ms between two reads of the table of hosts. */
const tableIntervalMs = 250
/** Time in ms after which a host counts as one that has passed on a response. */
const passedOnMs = 500
/** Time in ms from the end of a process until the next one of its host serves, when all are restarted. */
const restartMs = 600

/** Plays a trace with the allocators of the product. */
export class LimitRun {
  readonly log = new LimitLog()
  /** Descriptions of the states after each event. */
  readonly states: string[] = []
  private readonly clock = new ManualClock()
  private readonly random: SeededRandom
  private readonly hosts: ModelHost[]
  private readonly troubles: Trouble[] = []
  private deliveries: Delivery[] = []
  private responses: Response[] = []
  private readonly lastDueMs = new Map<string, number>()
  private level: number

  constructor (private readonly trace: LimitTrace, private readonly bound: LimitBound, private readonly create: CreateLimitProcess) {
    this.random = new SeededRandom(trace.seed)
    this.level = trace.level
    this.log.setLevel(0, trace.level)
    this.hosts = Array.from({ length: limitRunSizes.maxHosts }, (_value, index) => ({
      index, isMember: index < trace.hosts, process: undefined, startsAtMs: 0, pausedUntilMs: 0, lastRunMs: 0, weight: 1, credit: 0, namedSinceMs: undefined
    }))
  }

  play (): void {
    const pending = this.listEvents()
    for (; this.clock.nowMs() < this.trace.durationMs; this.clock.advance(this.bound.stepMs)) {
      const nowMs = this.clock.nowMs()
      const due = pending.filter(({ atMs }) => atMs <= nowMs)
      pending.splice(0, due.length)
      for (const event of due) this.apply(event)
      this.startProcesses()
      this.deliver()
      this.excuseCutHosts()
      this.sendRequests()
      if (nowMs % peerLimits.sameRegionHeartbeatMs === 0) for (const host of this.hosts) this.sendHeartbeats(host, false)
      if (due.length > 0) this.states.push(this.describeState())
    }
  }

  /** Lists the events in order, with the restart of all hosts as one of each. */
  private listEvents (): LimitEvent[] {
    return this.trace.events.flatMap((event): LimitEvent[] => event.kind === 'restartAll'
      ? this.hosts.map(({ index }) => ({ kind: 'kill', atMs: event.atMs + index * event.gapMs, host: index, forMs: restartMs }))
      : [event]).sort((a, b) => a.atMs - b.atMs)
  }

  private apply (event: LimitEvent): void {
    const nowMs = this.clock.nowMs()
    match(event)
      .with({ kind: 'kill' }, ({ host, forMs }) => {
        this.hosts[host]!.process = undefined
        this.hosts[host]!.startsAtMs = nowMs + forMs
        this.hosts[host]!.namedSinceMs = undefined
      })
      .with({ kind: 'pause' }, ({ host, forMs }) => {
        this.hosts[host]!.pausedUntilMs = nowMs + forMs
        this.hosts[host]!.namedSinceMs = undefined
      })
      .with({ kind: 'cut' }, { kind: 'lose' }, { kind: 'delay' }, { kind: 'quiet' }, (trouble) => { this.troubles.push(trouble) })
      .with({ kind: 'limit' }, ({ level }) => this.setLevel(level))
      .with({ kind: 'demand' }, ({ host, factor }) => { this.hosts[host]!.weight = factor })
      .with({ kind: 'add' }, ({ host }) => {
        if (!this.hosts[host]!.isMember) Object.assign(this.hosts[host]!, { isMember: true, startsAtMs: nowMs })
      })
      .with({ kind: 'remove' }, ({ host }) => {
        this.sendHeartbeats(this.hosts[host]!, true)
        Object.assign(this.hosts[host]!, { isMember: false, process: undefined })
      })
      .with({ kind: 'restartAll' }, () => {})
      .exhaustive()
  }

  private setLevel (level: number): void {
    if (level === this.level) return
    this.level = level
    this.log.setLevel(this.clock.nowMs(), level)
    for (const host of this.hosts) host.namedSinceMs = undefined
  }

  private startProcesses (): void {
    const nowMs = this.clock.nowMs()
    for (const host of this.hosts) {
      if (!host.isMember || host.process !== undefined || host.startsAtMs > nowMs) continue
      host.process = this.create({ record: createRecord(host.index, nowMs), clock: this.clock, isFirstStart: nowMs === 0, readRetryBounds: () => this.bound.readRetryBounds(this.level) })
      host.lastRunMs = nowMs
    }
    const running = this.listRunning()
    for (const host of running) host.lastRunMs = nowMs
    const listed = this.hosts.filter(({ isMember, lastRunMs }) => isMember && nowMs - lastRunMs < entryTtlMs).map(({ index }) => createRecord(index, 0))
    for (const { process } of running) if (nowMs % tableIntervalMs === 0 || !process!.hasTable) process!.readTable(listed)
  }

  private listRunning (): ModelHost[] {
    return this.hosts.filter(({ process, pausedUntilMs }) => process !== undefined && pausedUntilMs <= this.clock.nowMs())
  }

  private listTroubles<Kind extends Trouble['kind']> (kind: Kind): Array<Extract<Trouble, { kind: Kind }>> {
    const nowMs = this.clock.nowMs()
    return this.troubles.filter((trouble): trouble is Extract<Trouble, { kind: Kind }> => trouble.kind === kind && nowMs < trouble.atMs + trouble.forMs)
  }

  /** Spreads the requests over the running hosts by weight and lets these send. */
  private sendRequests (): void {
    const nowMs = this.clock.nowMs()
    const running = this.listRunning()
    const total = running.reduce((sum, { weight }) => sum + weight, 0)
    const isQuiet = this.listTroubles('quiet').length > 0
    for (const host of running) {
      host.credit += total === 0 ? 0 : requestsPerSecond * this.bound.stepMs / 1_000 * host.weight / total
      const requests = Math.floor(host.credit)
      host.credit -= requests
      for (let count = 0; count < requests; count++) this.log.requests.push(nowMs)
      const sent = this.bound.send(host.process!, { requests, level: this.level, isQuiet, nowMs })
      const isCounted = host.namedSinceMs !== undefined && nowMs - host.namedSinceMs >= passedOnMs
      for (let count = 0; count < sent; count++) this.log.sends.push({ atMs: nowMs, isCounted })
      if (sent > 0) this.responses.push({ dueMs: nowMs + travelMs, host, process: host.process!, perSecond: this.bound.getNamedRate(this.level) })
    }
  }

  private sendHeartbeats (host: ModelHost, isLeaving: boolean): void {
    const nowMs = this.clock.nowMs()
    if (host.process === undefined || host.pausedUntilMs > nowMs) return
    const heartbeat = host.process.describe(isLeaving, nowMs)
    const lossShare = Math.max(0, ...this.listTroubles('lose').map(({ share }) => share))
    const delayMs = Math.max(0, ...this.listTroubles('delay').map((trouble) => trouble.delayMs))
    for (const { record } of host.process.peers) {
      const to = this.hosts.findIndex(({ index }) => nameOf(index) === record.name)
      if (this.isCut(host.index, to) || this.random.next() < lossShare) continue
      // Heartbeats to a host share a connection, so a later one doesn't overtake.
      const dueMs = Math.max(this.lastDueMs.get(`${host.index} ${to}`) ?? 0, nowMs + travelMs + delayMs)
      this.lastDueMs.set(`${host.index} ${to}`, dueMs)
      this.deliveries.push({ to, dueMs, heartbeat })
    }
  }

  private isCut (from: number, to: number): boolean {
    return this.listTroubles('cut').some(({ group, isOneWay }) => {
      const isFromInside = (group >> from & 1) === 1
      return isFromInside !== ((group >> to & 1) === 1) && (isFromInside || !isOneWay)
    })
  }

  /** The rule on named limits excuses a host that is cut off, here from more than half of the others, as after a restart or a pause. */
  private excuseCutHosts (): void {
    if (this.listTroubles('cut').length === 0) return
    const members = this.hosts.filter(({ isMember }) => isMember)
    for (const host of members) {
      const lost = members.filter(({ index }) => this.isCut(host.index, index) || this.isCut(index, host.index))
      if (lost.length > (members.length - 1) / 2) host.namedSinceMs = undefined
    }
  }

  /** Delivers what is due; a paused host gets it when it runs again, an ended process never. */
  private deliver (): void {
    const nowMs = this.clock.nowMs()
    const isDue = ({ dueMs, to }: Delivery): boolean => dueMs <= nowMs && this.hosts[to]!.pausedUntilMs <= nowMs
    const due = this.deliveries.filter(isDue)
    this.deliveries = this.deliveries.filter((delivery) => !isDue(delivery))
    for (const { to, heartbeat } of due) this.hosts[to]!.process?.receive(heartbeat, nowMs)
    const heard = this.responses.filter(({ dueMs, host }) => dueMs <= nowMs && host.pausedUntilMs <= nowMs)
    this.responses = this.responses.filter((response) => !heard.includes(response))
    for (const { host, process, perSecond } of heard) {
      if (host.process !== process) continue
      process.hearResponse(perSecond, nowMs)
      if (perSecond !== undefined && perSecond === this.bound.getNamedRate(this.level)) host.namedSinceMs ??= nowMs
    }
  }

  private describeState (): string {
    const nowMs = this.clock.nowMs()
    return this.hosts.map(({ process, pausedUntilMs, weight }) => `${weight} ${pausedUntilMs > nowMs} ${process?.describeState(nowMs) ?? 'down'}`).join('|')
  }
}

function nameOf (index: number): string {
  return `host-${index}`
}

function createRecord (index: number, incarnation: number): HostRecord {
  return { name: nameOf(index), zone: 'north-a', region: 'north', callerAddress: '10.0.0.1:1', peerAddress: '10.0.0.1:2', linkMbps: 0, incarnation }
}
