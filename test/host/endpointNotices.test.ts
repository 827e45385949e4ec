import { test } from 'node:test'
import { expect } from 'earl'
import type { PlatformEndpoint } from '../../dev/store/PlatformEndpoint.js'
import { endpointLimits } from '../../src/endpoints/endpointLimits.js'
import { HostGroup } from '../support/HostGroup.js'

async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

async function withGroup (run: (group: HostGroup, first: PlatformEndpoint, second: PlatformEndpoint) => Promise<void>): Promise<void> {
  const group = await HostGroup.start(1, 2)
  try {
    await run(group, group.endpoints[0]!, group.endpoints[1]!)
  } finally {
    await group.stop()
  }
}

let objects = 0

/** Sends requests one after the other, each for an object of its own, so that all endpoints get their share; returns the statuses. */
async function sendMany (group: HostGroup, count = 30): Promise<number[]> {
  const statuses: number[] = []
  for (let index = 0; index < count; index++) statuses.push((await group.send({ object: String(objects++) })).status)
  return statuses
}

// Guards against requests to an endpoint that leaves, for as long as its registry entry doesn't say so (DRAIN).
test('an endpoint that says in a response that it is leaving gets no further requests', async () => {
  await withGroup(async (group, first, second) => {
    group.store.faults.down = 'silence'
    first.leaving = '1'
    const statuses = await sendMany(group)
    expect([first.runs.length, second.runs.length, new Set(statuses)]).toEqual([1, 29, new Set([200])])
  })
})

// Guards against the same where the endpoint rejects the request that it says so with.
test('a leaving endpoint that sheds gets no further requests', async () => {
  await withGroup(async (group, first) => {
    first.leaving = '1'
    first.behaviour = 'shed'
    let arrivals = 0
    first.onArrival = () => { arrivals += 1 }
    await sendMany(group)
    await sleep(endpointLimits.shedBackoffMs + 100)
    await sendMany(group)
    expect(arrivals).toEqual(1)
  })
})

// Guards against requests that wait for their deadline at the only endpoint of a service, which is leaving.
test('a request whose endpoints are all leaving is refused at once', async () => {
  await withGroup(async (group, first, second) => {
    first.leaving = second.leaving = '1'
    await sendMany(group)
    const startMs = performance.now()
    const { status, headers } = await group.send()
    expect([status, headers['retry-after'] !== undefined, performance.now() - startMs < 200]).toEqual([503, true, true])
  })
})

// Guards against requests to a leaving endpoint because a health check falsely denied that, or its entry went and came back (issue 41).
test('an endpoint that said that it is leaving gets nothing after a good health check and a lost entry', async () => {
  await withGroup(async (group, first) => {
    first.leaving = '1'
    await sendMany(group)
    first.leaving = undefined
    await sleep(endpointLimits.leavingCheckMs + 1_000)
    await sendMany(group)
    group.store.tables.remove('servers', first.id)
    await group.waitUntil(() => group.logger.lines.some((line) => line.includes('endpoints-changed') && line.includes('known=1')))
    await sleep(endpointLimits.lapseGraceMs)
    group.store.tables.put('servers', first.id, first.describe('stock', 'north-a'))
    await group.waitUntil(() => group.logger.lines.at(-1)!.includes('known=2') || group.logger.lines.filter((line) => line.includes('known=2')).length > 1)
    await sendMany(group)
    expect(first.runs.length).toEqual(1)
  })
})

// Guards against an endpoint that starts anew under its id and gets nothing because its earlier incarnation left.
test('a new incarnation of a leaving endpoint is used', async () => {
  await withGroup(async (group, first) => {
    first.leaving = '1'
    await sendMany(group)
    first.leaving = undefined
    group.store.tables.put('servers', first.id, { ...first.describe('stock', 'north-a'), born: Date.now() + 1_000 })
    await sleep(1_000)
    await sendMany(group)
    expect(first.runs.length > 1).toEqual(true)
  })
})

// Guards against text that shuts an endpoint out by chance, and against text that leaves no trace.
test('a leaving that can not be read changes nothing and is recorded', async () => {
  await withGroup(async (group, first) => {
    first.leaving = 'yes'
    await sendMany(group)
    expect([first.runs.length > 1, group.logger.lines.some((line) => line.includes('response-leaving-invalid') && line.includes('yes'))]).toEqual([true, true])
  })
})

/** Records the times of arrivals at an endpoint. */
function recordArrivals (endpoint: PlatformEndpoint): number[] {
  const times: number[] = []
  endpoint.onArrival = () => times.push(performance.now())
  return times
}

// Guards against requests to an endpoint in the time in which it wants none (BUDGET).
test('an endpoint that sheds with a back-off gets nothing until it ends', async () => {
  await withGroup(async (group, first) => {
    const times = recordArrivals(first)
    Object.assign(first, { behaviour: 'shed', retryAfter: '1.5' })
    await sendMany(group, 10)
    Object.assign(first, { behaviour: 'good', retryAfter: undefined })
    const endMs = times[0]! + 1_500
    while (performance.now() < endMs + 500) await sendMany(group, 5)
    expect([times.filter((ms) => ms > times[0]! && ms < endMs).length, times.some((ms) => ms > endMs)]).toEqual([0, true])
  })
})

// Guards against requests that wait although every endpoint wants none, and against callers that return too early.
test('a request whose endpoints all back off is refused at once until one of them ends', async () => {
  await withGroup(async (group, first, second) => {
    for (const endpoint of [first, second]) Object.assign(endpoint, { behaviour: 'shed', retryAfter: '2' })
    await sendMany(group, 10)
    expect(group.logger.lines.some((line) => line.includes('endpoint-leaving'))).toEqual(false)
    const startMs = performance.now()
    const { status, headers } = await group.send()
    const retryAfter = Number(headers['retry-after'])
    expect([status, performance.now() - startMs < 200, retryAfter >= 1, retryAfter <= 3]).toEqual([503, true, true, true])
  })
})

// Guards against a back-off that a response shortens although an earlier one asked for longer.
test('the longest back-off holds', async () => {
  await withGroup(async (group, first, second) => {
    second.behaviour = 'shed'
    const times = recordArrivals(first)
    Object.assign(first, { behaviour: 'shed', serviceMs: 0, retryAfter: '1.5' })
    await group.send()
    first.retryAfter = '0.1'
    await sleep(600)
    const before = times.length
    await sendMany(group, 10)
    expect([before, times.length]).toEqual([1, 1])
  })
})

// Guards against text that becomes a back-off by chance, and against one taken from a success.
test('a back-off that can not be read, or in a success, changes nothing', async () => {
  await withGroup(async (group, first) => {
    const times = recordArrivals(first)
    for (const text of ['-1', 'soon', 'Wed, 21 Oct 2037 07:28:00 GMT', '']) {
      Object.assign(first, { behaviour: 'shed', retryAfter: text })
      const before = times.length
      for (let round = 0; round < 2; round++) {
        await sendMany(group, 10)
        await sleep(endpointLimits.shedBackoffMs + 20)
      }
      expect([text, times.length - before > 1]).toEqual([text, true])
    }
    expect(group.logger.lines.filter((line) => line.includes('response-backoff-invalid')).length > 0).toEqual(true)
    Object.assign(first, { behaviour: 'good', retryAfter: '30' })
    const before = times.length
    await sendMany(group)
    expect(times.length > before + 1).toEqual(true)
  })
})

// Guards against attempts that each host makes for itself at an endpoint that wants no requests.
test('an endpoint that asked one host for a time without requests gets none from the others', async () => {
  const group = await HostGroup.start(6, 3)
  try {
    await group.waitUntil(() => group.logger.lines.filter((line) => line.includes('peer-up')).length >= 6 * 5)
    const first = group.endpoints[0]!
    first.behaviour = 'shed'
    first.retryAfter = '5'
    let arrivals = 0
    first.onArrival = () => { arrivals += 1 }
    await sendMany(group)
    await sleep(600)
    const statuses: number[] = []
    for (let host = 1; host < 6; host++) {
      for (let index = 0; index < 10; index++) statuses.push((await group.send({ object: String(objects++) }, host)).status)
    }
    expect([arrivals, new Set(statuses)]).toEqual([1, new Set([200])])
  } finally {
    await group.stop()
  }
})
