import { test } from 'node:test'
import { expect } from 'earl'
import { catalogLimits } from '../../src/catalog/catalogLimits.js'
import { computeStaleAfterMs } from '../../src/catalog/computeStaleAfterMs.js'
import { PollSchedule } from '../../src/catalog/PollSchedule.js'
import { StoreHealth } from '../../src/catalog/StoreHealth.js'
import { toReportedAge } from '../../src/catalog/toReportedAge.js'
import { ManualClock } from '../../src/common/ManualClock.js'
import { SeededRandom } from '../../dev/common/SeededRandom.js'
import { peerLimits } from '../../src/peers/peerLimits.js'
import { PeerTable } from '../../src/peers/PeerTable.js'
import { StoreReaders } from '../../src/peers/StoreReaders.js'
import { createHeartbeat } from '../support/createHeartbeat.js'

/** A deployment in calm: hosts are spread evenly over the regions, and the operator changes the configuration now and then. */
interface Deployment {
  readonly hostCount: number
  readonly regionCount: number
  readonly configApplyMs: number
}

/** A host with its knowledge of the others; times are ms of the common clock. */
interface ModelHost {
  readonly name: string
  readonly region: string
  readonly health: StoreHealth
  readonly peers: PeerTable
  readonly readers: StoreReaders
  readonly schedule: PollSchedule
  /** End of the poll that is under way; undefined while the host doesn't poll. */
  pollEndMs: number | undefined
  /** Times of the next heartbeat by peer. */
  readonly nextHeartbeatMs: number[]
}

const table = 'orders'
const stepMs = 25
const durationMs = 40_000
const warmUpMs = 10_000
/** Round trips in ms inside a region and between regions. */
const nearRoundTripMs = 5
const farRoundTripMs = 75
/** Mean time in ms between two changes of the configuration. */
const changeGapMs = 4_000

/** Plays a deployment without faults; returns the greatest age of any host's copy after all hosts know each other. */
function playCalm ({ hostCount, regionCount, configApplyMs }: Deployment, seed: number): number {
  const random = new SeededRandom(seed)
  const clock = new ManualClock()
  const hosts = Array.from({ length: hostCount }, (_value, index) => createHost(index, { hostCount, regionCount, configApplyMs }, clock, random))
  let nextChangeMs = changeGapMs
  let oldestMs = 0
  for (; clock.nowMs() < durationMs; clock.advance(stepMs)) {
    const nowMs = clock.nowMs()
    const isChanged = nowMs >= nextChangeMs
    if (isChanged) nextChangeMs += random.exponential(changeGapMs)
    for (const host of hosts) poll(host, isChanged, nowMs)
    for (const host of hosts) exchange(host, hosts, nowMs)
    if (nowMs >= warmUpMs) oldestMs = Math.max(oldestMs, ...hosts.map(({ readers }) => readers.getTableAge(table, nowMs)))
  }
  return oldestMs
}

function createHost (index: number, { hostCount, regionCount, configApplyMs }: Deployment, clock: ManualClock, random: SeededRandom): ModelHost {
  const self = createRecord(`host-${index}`, `region-${index % regionCount}`)
  const health = new StoreHealth()
  const peers = new PeerTable(self.name)
  const getStaleAfterMs = (): number => computeStaleAfterMs(table, { configApplyMs, drainMs: configApplyMs })
  return {
    name: self.name,
    region: self.region,
    health,
    peers,
    readers: new StoreReaders({ self, peers, health, clock, getStaleAfterMs }),
    schedule: new PollSchedule({ maxWaitMs: catalogLimits.maxFollowWaitMs, spacingMs: catalogLimits.pollSpacingMs[table] }),
    pollEndMs: undefined,
    nextHeartbeatMs: Array.from({ length: hostCount }, () => random.integer(peerLimits.crossRegionHeartbeatMs))
  }
}

function createRecord (name: string, region: string): ReturnType<typeof createHeartbeat>['host'] {
  return { ...createHeartbeat(name, 1).host, region }
}

/** Ends a poll that is due, or that a change ends, and begins the next one. */
function poll (host: ModelHost, isChanged: boolean, nowMs: number): void {
  if (host.pollEndMs !== undefined && (isChanged || nowMs >= host.pollEndMs)) {
    host.health.recordSuccess(table, nowMs)
    host.schedule.synchronize(nowMs, nowMs)
    host.pollEndMs = undefined
  }
  if (host.pollEndMs !== undefined || !host.readers.shouldRead(table)) return
  host.pollEndMs = nowMs + farRoundTripMs + host.schedule.nextWaitMs(host.readers.getPlace(), nowMs)
}

/** Sends the heartbeats that are due; each reply tells the age of its sender's last call. */
function exchange (host: ModelHost, hosts: readonly ModelHost[], nowMs: number): void {
  for (const [index, peer] of hosts.entries()) {
    if (peer === host || nowMs < host.nextHeartbeatMs[index]!) continue
    const isNear = peer.region === host.region
    const baseMs = isNear ? peerLimits.sameRegionHeartbeatMs : peerLimits.crossRegionHeartbeatMs
    const intervalMs = baseMs * Math.min(peerLimits.maxSlowdown, Math.max(1, (hosts.length - 1) / peerLimits.fullRateHosts))
    host.nextHeartbeatMs[index] = nowMs + Math.ceil(intervalMs / peerLimits.tickMs) * peerLimits.tickMs
    const row = host.peers.receive(createHeartbeat(peer.name, 1, { host: createRecord(peer.name, peer.region) }), nowMs)!
    row.heartbeatIntervalMs = intervalMs
    const ageMs = toReportedAge(peer.health.tableAgeMs(table, nowMs))
    const sentAtMs = nowMs - (isNear ? nearRoundTripMs : farRoundTripMs)
    if (ageMs >= 0) row.tableContacts.set(table, sentAtMs - ageMs)
  }
}

// Guards against hosts that call the store themselves in calm, each one for each table, since polls and heartbeats are too rare for the bound (issue 44).
for (const deployment of [{ hostCount: 7, regionCount: 3, configApplyMs: 2_500 }, { hostCount: 34, regionCount: 3, configApplyMs: 3_000 }]) {
  test(`no copy counts as stale in calm with ${deployment.hostCount} hosts`, () => {
    const staleAfterMs = computeStaleAfterMs(table, { configApplyMs: deployment.configApplyMs, drainMs: deployment.configApplyMs })
    for (const seed of [1, 2]) expect(playCalm(deployment, seed) < staleAfterMs).toEqual(true)
  })
}
