import { ok } from 'neverthrow'
import { ManualClock } from '../../src/common/ManualClock.js'
import { PeerMessenger } from '../../src/common/PeerMessenger.js'
import { defaultPorts } from '../../src/config/defaultPorts.js'
import type { ConfigDoc } from '../../src/model/ConfigDoc.js'
import type { Contract } from '../../src/model/Contract.js'
import { ShareService } from '../../src/share/ShareService.js'
import { readHeap } from './readHeap.js'
import type { TargetedSeries } from './TargetedSeries.js'

/** Numbers of customers that send requests to one host within the same second. */
const sizes = [500, 1_000, 2_000, 4_000]
/** About a thousand customers are expected per operator; at the target size a host serves a few times as many. */
const targetCustomers = 5_000
const host = 'host-0'
const admissionCount = 20_000
const tickCount = 100
const tickMs = 10

/** Costs on one host with `size` active customers. */
interface ShareCosts {
  readonly size: number
  readonly usPerAdmission: number
  readonly msPerTick: number
  readonly heapMiB: number
}

/** Answers every loan request with an empty grant, so that a loan costs as much as when the cap is used up. */
class NoLoanMessenger extends PeerMessenger {
  override async request () {
    return ok({ t: 'loan_grant', amount: { rate: 0, burst: 0, short: 0, long: 0, upload: 0 }, renewed: [] })
  }

  override notify (): boolean {
    return true
  }
}

/** Measures what enforcing caps costs one host: time per admission, time per tick, and heap for all active customers. */
export async function measureShares (): Promise<TargetedSeries[]> {
  const rows: ShareCosts[] = []
  for (const size of sizes) rows.push({ size, ...await measureSize(size) })
  const toSeries = (name: string, unit: string, value: (row: ShareCosts) => number): TargetedSeries =>
    ({ name, unit, target: targetCustomers, points: rows.map((row) => ({ size: row.size, value: value(row) })) })
  return [
    toSeries('admission_by_active_customers', 'us', ({ usPerAdmission }) => usPerAdmission),
    toSeries('share_tick_by_active_customers', 'ms', ({ msPerTick }) => msPerTick),
    toSeries('share_heap_by_active_customers', 'MiB', ({ heapMiB }) => heapMiB)
  ]
}

async function measureSize (size: number): Promise<Omit<ShareCosts, 'size'>> {
  const clock = new ManualClock()
  const doc = createDoc(size)
  const before = readHeap()
  const service = new ShareService({ host, incarnation: 1, clock, messenger: new NoLoanMessenger() })
  service.setConfig(doc)
  service.setView({ seq: 1, contactAgeMs: 0, configVersion: 1, isFirstStart: true, members: [], leavingEndpoints: [], leavingHosts: [] })
  clock.advance(1_000)
  await admitAll(service, clock, size, size)
  const heapMiB = (readHeap() - before) / 1_048_576
  const startMs = performance.now()
  await admitAll(service, clock, size, admissionCount)
  const usPerAdmission = (performance.now() - startMs) * 1_000 / admissionCount
  const tickStartMs = performance.now()
  for (let index = 0; index < tickCount; index += 1) {
    clock.advance(tickMs)
    service.tick(clock.nowMs())
  }
  return { usPerAdmission, msPerTick: (performance.now() - tickStartMs) / tickCount, heapMiB }
}

async function admitAll (service: ShareService, clock: ManualClock, customers: number, count: number): Promise<void> {
  const { signal } = new AbortController()
  for (let index = 0; index < count; index += 1) {
    const admitted = await service.admit({ customer: `customer-${index % customers}`, workClass: 'interactive', deadlineAtMs: clock.nowMs() + 3_000, signal })
    if (admitted.isErr()) throw new Error(admitted.error.message)
    admitted.value.release()
  }
}

function createDoc (size: number): ConfigDoc {
  const contracts = Array.from({ length: size }, (_, index): Contract => ({
    customer: `customer-${index}`,
    version: 1,
    credentialHashes: [],
    services: [],
    rate: 100_000,
    burst: 100_000,
    concurrency: 100,
    uploadBytesPerSecond: 1_000_000,
    regionShare: 0.8,
    moveStep: 0.2,
    priority: 1
  }))
  const hosts = Array.from({ length: 7 }, (_, index) => ({ name: `host-${index}`, zone: `zone-${index}`, address: `10.0.0.${index + 1}`, ports: defaultPorts }))
  const zones = hosts.map(({ zone }) => ({ name: zone, region: 'region' }))
  return { lineage: 'slopes', version: 1, zones, hosts, services: [], endpoints: [], links: [], objective: { latency: 1, headroom: 0 }, contracts, drains: [], priorCaps: [] }
}
