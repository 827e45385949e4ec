import { test } from 'node:test'
import { expect } from 'earl'
import { HostGroup } from '../support/HostGroup.js'
import { RawCaller } from '../support/RawCaller.js'

/** Time in ms that an endpoint takes, longer than what is left of the grace time when the late requests arrive. */
const serviceMs = 1_200
const lateShare = 0.75
const slowRoute = { host: 'shop.example', prefix: '/slow/', kind: 'non_idempotent', timeout_s: 10, target_latency_s: 2, priority: 1, service: 'stock', max_attempts: 1 }

/** Runs a test in a planned stop of a host whose endpoint is slow; `sendLate` is called late in the grace time. */
async function stopWithLateRequest (begin: (caller: RawCaller, group: HostGroup) => Promise<void>, sendLate: (caller: RawCaller) => void): Promise<{ readonly caller: RawCaller, readonly runs: readonly string[] }> {
  const group = await HostGroup.start(1, 1)
  group.putConfig({ 'r-slow': slowRoute })
  await group.waitUntil(() => group.logger.lines.some((line) => line.includes('config-applied version=2')))
  const caller = new RawCaller(group.connect())
  await begin(caller, group)
  group.endpoints[0]!.serviceMs = serviceMs
  const stopped = group.hosts[0]!.stop()
  await new Promise((resolve) => setTimeout(resolve, group.settings[0]!.bounds.graceMs * lateShare))
  sendLate(caller)
  await caller.ended
  await stopped
  const runs = group.endpoints[0]!.runs.map((run) => run.id)
  await group.stop()
  return { caller, runs }
}

// Guards against an order that is passed on when its body arrives late in the grace time, and then cut without an answer.
test('an order whose body arrives late in a planned stop is refused and not run', async () => {
  const body = 'x'.repeat(10)
  const { caller, runs } = await stopWithLateRequest(async (each) => {
    each.sendBytes(`POST /slow/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: late\r\nX-Deadline-Ms: 5000\r\nContent-Length: ${body.length}\r\n\r\n`)
    await new Promise((resolve) => setTimeout(resolve, 100))
  }, (each) => each.sendBytes(body))
  expect([caller.responses.map(({ status, closes }) => [status, closes]), runs]).toEqual([[[503, true]], []])
})
