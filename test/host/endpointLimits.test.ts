import { test } from 'node:test'
import { expect } from 'earl'
import type { PlatformEndpoint } from '../../dev/store/PlatformEndpoint.js'
import { HostGroup } from '../support/HostGroup.js'

const windowMs = 4_000
/** Time in ms from the first response that names a limit until it must be kept. */
const settleMs = 1_000
/** Time in ms in which hosts have exchanged heartbeats. */
const exchangeMs = 1_000
const hostCount = 3
const perSecond = 5
/** Largest number of requests in a window. */
const allowed = 1.5 * perSecond * windowMs / 1_000 + 5

/** Records the times of arrivals at an endpoint. */
function recordArrivals (endpoint: PlatformEndpoint): number[] {
  const times: number[] = []
  endpoint.onArrival = () => times.push(performance.now())
  return times
}

/** Sends 20 requests a second to each host for some time; returns the statuses. */
async function sendSteadily (group: HostGroup, durationMs: number): Promise<number[]> {
  const endMs = performance.now() + durationMs
  const answers: Array<Promise<number>> = []
  for (let index = 0; performance.now() < endMs; index++) {
    for (let host = 0; host < hostCount; host++) answers.push(group.send({ object: String(index % 50) }, host).then(({ status }) => status))
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
  return await Promise.all(answers)
}

function countMostInWindow (times: readonly number[], fromMs: number): number {
  return Math.max(0, ...times.filter((startMs) => startMs >= fromMs).map((startMs) => times.filter((ms) => ms >= startMs && ms < startMs + windowMs).length))
}

// Guards against an endpoint in need that gets from all hosts together more requests than the limit that it names.
test('all hosts together keep the rate limit that an endpoint names', async () => {
  const group = await HostGroup.start(hostCount, 4)
  const [first, second] = group.endpoints
  const arrivals = [recordArrivals(first!), recordArrivals(second!)]
  first!.rateLimit = second!.rateLimit = String(perSecond)
  const startMs = performance.now()
  const statuses = await sendSteadily(group, settleMs + windowMs + 1_500)
  await group.stop()
  for (const times of arrivals) expect([countMostInWindow(times, startMs + settleMs) <= allowed, times.length > 0]).toEqual([true, true])
  expect(statuses.filter((status) => status === 200).length > statuses.length * 0.9).toEqual(true)
})

// Guards against a host that sends what it likes to an endpoint in need until it hears of the limit itself.
test('a host keeps a limit that only another host has heard of', async () => {
  const group = await HostGroup.start(2, 1)
  const [endpoint] = group.endpoints
  endpoint!.rateLimit = '1'
  endpoint!.serviceMs = 200
  await group.send({}, 0)
  await new Promise((resolve) => setTimeout(resolve, exchangeMs))
  const times = recordArrivals(endpoint!)
  await Promise.all(Array.from({ length: 30 }, async (_value, index) => await group.send({ object: String(index) }, 1)))
  await group.stop()
  expect(times.length <= 2).toEqual(true)
})

// Guards against a limit that stays in force for good at the hosts that may not send there and so never hear that it has ended.
test('all hosts hear that a limit has ended', async () => {
  const group = await HostGroup.start(7, 1)
  const [endpoint] = group.endpoints
  const sendToAll = async (): Promise<number[]> => await Promise.all(group.hosts.map(async (_host, host) => (await group.send({ object: String(host) }, host)).status))
  endpoint!.rateLimit = '0.5'
  await sendToAll()
  expect((await sendToAll()).includes(503)).toEqual(true)
  endpoint!.rateLimit = undefined
  let statuses: number[] = []
  const endMs = performance.now() + 12_000
  while (performance.now() < endMs && (statuses.length === 0 || statuses.includes(503))) {
    statuses = await sendToAll()
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
  await group.stop()
  expect(statuses).toEqual(group.hosts.map(() => 200))
})
