import { decodeConfig } from '../../src/control/decodeConfig.js'
import { encodeConfig } from '../../src/control/encodeConfig.js'
import { LookupIndex } from '../../src/lookup/LookupIndex.js'
import { hashCredential } from '../../src/common/hashCredential.js'
import type { ConfigDoc } from '../../src/model/ConfigDoc.js'
import { createSlopeHosts } from './createSlopeHosts.js'
import type { TargetedSeries } from './TargetedSeries.js'

const sizes = [250, 500, 1_000, 2_000]
/** The requirements set no target for the number of contracts; each of the two operators serves about a thousand callers. */
const targetContracts = 10_000
const hostCount = 7
const repeats = 5

/** Measures the encoded size of the configuration document and the time to encode, decode and index it, by the number of contracts. */
export async function measureConfigDocument (): Promise<TargetedSeries[]> {
  const rows = sizes.map((size) => {
    const held = { doc: createDocument(size), writeId: 'slope' }
    const data = encodeConfig(held)
    const decodeMs = measureMedianMs(() => { if (decodeConfig(data) === undefined) throw new Error('the document is not valid') })
    const indexMs = measureMedianMs(() => new LookupIndex(held.doc))
    const encodeMs = measureMedianMs(() => encodeConfig(held))
    return { size, bytes: data.length, decodeMs, indexMs, encodeMs }
  })
  const toSeries = (name: string, unit: string, value: (row: typeof rows[number]) => number): TargetedSeries =>
    ({ name, unit, target: targetContracts, points: rows.map((row) => ({ size: row.size, value: value(row) })) })
  return [
    toSeries('config_frame_bytes_by_contracts', 'bytes', ({ bytes }) => bytes),
    toSeries('config_decode_time_by_contracts', 'ms', ({ decodeMs }) => decodeMs),
    toSeries('config_encode_time_by_contracts', 'ms', ({ encodeMs }) => encodeMs),
    toSeries('config_lookup_index_time_by_contracts', 'ms', ({ indexMs }) => indexMs)
  ]
}

function createDocument (contracts: number): ConfigDoc {
  const hosts = createSlopeHosts(hostCount, 6)
  return {
    lineage: 'slope',
    version: 1,
    zones: Array.from({ length: 6 }, (_, index) => ({ name: `z-${index}`, region: `r-${index % 3}` })),
    hosts,
    services: [{ name: 'stock', path: 'stock', routes: [{ methods: [], prefix: '', workClass: 'interactive', idempotent: true, defaultDeadlineMs: 3_000, maxBodyBytes: 65_536 }] }],
    endpoints: Array.from({ length: 44 }, (_, index) => ({
      name: `stock-${index}`, service: 'stock', zone: `z-${index % 6}`, address: `127.61.1.1:${9_001 + index}`, slots: 4, maxConnections: 400
    })),
    links: [],
    objective: { latency: 0.8, headroom: 0.2 },
    contracts: Array.from({ length: contracts }, (_, index) => ({
      customer: `customer-${index}`,
      version: 1,
      credentialHashes: [hashCredential(`credential-${index}`)],
      services: ['stock'],
      rate: 10 + index % 90,
      burst: 10 + index % 50,
      concurrency: 8 + index % 32,
      uploadBytesPerSecond: 1_000_000,
      regionShare: 0.8,
      moveStep: 0.2,
      priority: 1
    })),
    drains: [],
    priorCaps: []
  }
}

function measureMedianMs (action: () => unknown): number {
  const times = Array.from({ length: repeats }, () => {
    const startMs = performance.now()
    action()
    return performance.now() - startMs
  })
  return times.sort((a, b) => a - b)[Math.floor(repeats / 2)]!
}
