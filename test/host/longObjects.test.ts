import { test } from 'node:test'
import { expect } from 'earl'
import { entryLimits } from '../../src/entry/entryLimits.js'
import { collectGarbage } from '../support/collectGarbage.js'
import { HostGroup } from '../support/HostGroup.js'

const requests = 2_000
const atATime = 20
const keyChars = 12_000
/** Rankings of two endpoints, recent objects and what the process allocates otherwise; the keys take 12,000 bytes each. */
const maxBytesPerRequest = 1_000

/** Returns the bytes of heap in use once connections that have ended are no longer kept. */
async function readHeapBytes (): Promise<number> {
  await new Promise((resolve) => setTimeout(resolve, entryLimits.lingerMs + 200))
  collectGarbage()
  return process.memoryUsage().heapUsed
}

async function sendAll (group: HostGroup, prefix: string): Promise<number[]> {
  const statuses: number[] = []
  for (let sent = 0; sent < requests; sent += atATime) {
    const answers = await Promise.all(Array.from({ length: atATime }, async (_value, index) => {
      return await group.send({ object: `${prefix}-${sent + index}-`.padEnd(keyChars, 'k') })
    }))
    statuses.push(...answers.map(({ status }) => status))
  }
  group.logger.lines.length = 0
  for (const endpoint of group.endpoints) endpoint.runs.length = 0
  return statuses
}

// Guards against callers whose long affinity keys fill the heap of a host, which ends the requests of all others.
test('long affinity keys take no more memory than short ones', async () => {
  const group = await HostGroup.start(1, 2)
  try {
    await sendAll(group, 'first')
    const beforeBytes = await readHeapBytes()
    const statuses = await sendAll(group, 'second')
    expect((await readHeapBytes() - beforeBytes) / requests).toBeLessThan(maxBytesPerRequest)
    expect(statuses.every((status) => status === 200)).toEqual(true)
  } finally {
    await group.stop()
  }
})
