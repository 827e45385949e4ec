import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import { AffinityRanking } from '../../src/placing/AffinityRanking.js'
import { readHeap } from './readHeap.js'
import type { TargetedSeries } from './TargetedSeries.js'

const sizes = [1_000, 5_000, 20_000]
const targetEndpoints = 20_000
const objectCount = 20_000
/** At this number of rankings the time of the measurement grows without another result, since the cache has been full for long. */
const maxRankedRows = 30_000_000

/** Measures the heap of the cached affinity rankings of one process after requests for many objects, by endpoints of a service. */
export async function measureRankingMemory (): Promise<TargetedSeries[]> {
  const points = sizes.map((size) => ({ size, value: measureHeapBytes(size) / 1_048_576 }))
  return [{ name: 'affinity_rankings_heap_by_endpoints', points, target: targetEndpoints, unit: 'MiB' }]
}

function measureHeapBytes (size: number): number {
  const table = new EndpointTable(() => 'north', () => 0)
  const records = Array.from({ length: size }, (_value, index) => ({
    id: `i-${index}`, address: '10.0.0.1:80', service: 'stock', zone: 'north-a', slots: 4, isDraining: false, coldMs: 0, bornAtMs: 1
  }))
  table.update(records, { nowMs: 0, mayHaveLapsed: false })
  const rows = table.listService('stock')
  const ranking = new AffinityRanking()
  const before = readHeap()
  let largest = 0
  const objects = Math.min(objectCount, Math.floor(maxRankedRows / size))
  for (let index = 0; index < objects; index++) {
    ranking.rank('stock', `object-${index}`, rows, table.generation)
    if (index % Math.ceil(objects / 20) === 0) largest = Math.max(largest, readHeap() - before)
  }
  return Math.max(largest, readHeap() - before)
}
