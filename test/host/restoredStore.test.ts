import { test } from 'node:test'
import { expect } from 'earl'
import { HostGroup } from '../support/HostGroup.js'

/** Time in ms within which a change must be in force everywhere (`config_apply_s` of the platform). */
const applyMs = 2_500
const awayMs = 300

const added = { host: 'shop.example', prefix: '/added/', kind: 'idempotent', timeout_s: 1, target_latency_s: 0.5, priority: 2, service: 'stock', max_attempts: 2, session_affinity: false, allowed_regions: [] }

async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

/** Restores the store to a copy after it was away for a moment. */
async function restore (group: HostGroup, copy: ReturnType<HostGroup['store']['tables']['copy']>): Promise<void> {
  group.store.faults.down = 'reset'
  await sleep(awayMs)
  group.store.tables.restore(copy)
  group.store.faults.down = undefined
}

async function listStatuses (group: HostGroup, path: string): Promise<number[]> {
  return await Promise.all(group.hosts.map(async (_host, index) => (await group.send({ path }, index)).status))
}

// Guards against hosts that take what a restored store returns for older than their copies, by its versions.
test('a change after the store came back from an older copy is in force in time', async () => {
  const group = await HostGroup.start(3, 2)
  try {
    const copy = group.store.tables.copy()
    for (const name of ['a', 'b', 'c', 'd']) group.putConfig({ [name]: { ...added, prefix: `/${name}/` } })
    await sleep(500)
    await restore(group, copy)
    await sleep(1_000)
    group.putConfig({ 'r-added': added })
    await sleep(applyMs)
    expect(await listStatuses(group, '/added/1')).toEqual([200, 200, 200])
  } finally {
    await group.stop()
  }
})
