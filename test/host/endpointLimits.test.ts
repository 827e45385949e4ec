import { test } from 'node:test'
import { expect } from 'earl'
import type { PlatformEndpoint } from '../../dev/store/PlatformEndpoint.js'
import { HostGroup } from '../support/HostGroup.js'

const windowMs = 4_000
/** Time in ms from the first response that names a limit until it must be kept. */
const settleMs = 1_000
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
