import type { Contract } from '../../src/model/Contract.js'
import type { ConfigDoc } from '../../src/model/ConfigDoc.js'
import type { View } from '../../src/model/View.js'
import { SystemClock } from '../../src/common/SystemClock.js'
import { defaultPorts } from '../../src/config/defaultPorts.js'
import { LookupService } from '../../src/lookup/LookupService.js'
import { NearestRanking } from '../../src/lookup/NearestRanking.js'
import type { SlopeSeries } from './SlopeSeries.js'

/** Numbers of entry hosts; the largest is the target size in section 1.3 of the design. */
const defaultSizes = [7, 700, 7_000]

const zoneCount = 55
const regionCount = 14
const customerCount = 1_000
const lookupCount = 100_000

/** Measures the ranking of entry hosts: lookups per second on one core, time to apply a view, time of the first lookup of a customer. */
export function measureLookups (sizes: readonly number[] = defaultSizes): SlopeSeries[] {
  const rows = sizes.map((size) => ({ size, ...measureSize(size) }))
  return [
    { name: 'lookup ranking', unit: 'per s and core', points: rows.map(({ size, perSecond }) => ({ size, value: perSecond })) },
    { name: 'lookup view', unit: 'ms', points: rows.map(({ size, viewMs }) => ({ size, value: viewMs })) },
    { name: 'first lookup of a customer', unit: 'ms', points: rows.map(({ size, firstLookupMs }) => ({ size, value: firstLookupMs })) }
  ]
}

function measureSize (size: number): { perSecond: number, viewMs: number, firstLookupMs: number } {
  const doc = createDoc(size)
  const service = new LookupService({ clock: new SystemClock(), ranking: new NearestRanking(), zone: 'zone-0', tls: false, findSite: (client) => `zone-${client.length % zoneCount}` })
  service.applyConfig(doc)
  const view = createView(doc)
  const viewMs = measureMs(() => service.applyView(view))
  const firstLookupMs = measureMs(() => lookUpAll(service, doc, customerCount)) / customerCount
  const elapsedMs = measureMs(() => lookUpAll(service, doc, lookupCount))
  return { perSecond: lookupCount / elapsedMs * 1_000, viewMs, firstLookupMs }
}

function lookUpAll (service: LookupService, doc: ConfigDoc, count: number): void {
  for (let index = 0; index < count; index++) {
    const answer = service.lookUp(doc.contracts[index % customerCount]!, { client: `10.0.${index % 200}.1` })
    if (answer.isErr()) throw new Error(answer.error.message)
  }
}

function measureMs (action: () => void): number {
  const startMs = performance.now()
  action()
  return performance.now() - startMs
}

function createDoc (size: number): ConfigDoc {
  const zones = Array.from({ length: zoneCount }, (_, index) => ({ name: `zone-${index}`, region: `region-${index % regionCount}` }))
  const hosts = Array.from({ length: size }, (_, index) => ({ name: `host-${index}`, zone: `zone-${index % zoneCount}`, address: `10.1.${index >> 8}.${index & 255}`, ports: defaultPorts }))
  const contracts = Array.from({ length: customerCount }, (_, index): Contract => ({
    customer: `customer-${index}`,
    version: 1,
    credentialHashes: [],
    services: ['stock'],
    rate: 100,
    burst: 50,
    concurrency: 40,
    uploadBytesPerSecond: 0,
    regionShare: 0.8,
    moveStep: 0.2,
    priority: 1
  }))
  return { lineage: 'slopes', version: 1, zones, hosts, services: [], endpoints: [], links: [], objective: { latency: 1, headroom: 0 }, contracts, drains: [], priorCaps: [] }
}

function createView (doc: ConfigDoc): View {
  const members = doc.hosts.map(({ name, zone }) => ({
    host: name,
    zone,
    incarnation: 1,
    seq: 1,
    state: 'alive' as const,
    configVersion: 1,
    digest: { host: name, entryIncarnation: 1, seq: 1, appliedVersion: 1, serving: true, leaving: false, inFlight: 0, loads: [], leavingEndpoints: [], drainInFlight: {}, uses: [] }
  }))
  return { seq: 1, contactAgeMs: 0, configVersion: 1, members, leavingEndpoints: [], leavingHosts: [], isFirstStart: false }
}
