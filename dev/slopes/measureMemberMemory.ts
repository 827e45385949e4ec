import { MemberTable } from '../../src/membership/MemberTable.js'
import { createSlopeDigest } from './createSlopeDigest.js'
import { createSlopeHosts } from './createSlopeHosts.js'
import { readHeap } from './readHeap.js'
import type { TargetedSeries } from './TargetedSeries.js'

const sizes = [500, 1_000, 2_000, 4_000]
const targetNodes = 7_000
const zoneCount = 55
const activeCustomers = 16
const aliveState = 0

/** Measures the heap that the member table of one agent occupies, with a digest of 16 active customers for each node. */
export async function measureMemberMemory (): Promise<TargetedSeries[]> {
  const points = sizes.map((size) => ({ size, value: measureTableHeapBytes(size) / 1_048_576 }))
  return [{ name: 'member_table_heap_by_nodes', points, target: targetNodes, unit: 'MiB' }]
}

function measureTableHeapBytes (size: number): number {
  const hosts = createSlopeHosts(size, zoneCount)
  const before = readHeap()
  const table = new MemberTable({ host: 'self', zone: 'z-0', incarnation: 1 })
  for (const { name, zone } of hosts) {
    // In production each row is decoded from a separate frame, so rows share no strings; a JSON round trip has the same effect.
    const report = JSON.parse(JSON.stringify({ incarnation: 1, no: 1, digest: createSlopeDigest(name, 1, activeCustomers) })) as { incarnation: number, no: number, digest: ReturnType<typeof createSlopeDigest> }
    table.merge([name, zone, 1, 1, aliveState, 1, report], name, 0)
  }
  const used = readHeap() - before
  if (table.size < size) throw new Error(`the table kept ${table.size} of ${size} rows`)
  return used
}
