import { test } from 'node:test'
import { expect } from 'earl'
import { ManualClock } from '../../src/common/ManualClock.js'
import { ShareService } from '../../src/share/ShareService.js'
import { createContract, createDoc, createHost, hostNames } from '../model/createDoc.js'
import { createRandom } from '../model/createRandom.js'
import { SimulatedNetwork } from '../model/SimulatedNetwork.js'
import { ShareCluster } from './ShareCluster.js'

/** Starts one host that has the whole cap. */
function startAlone (contract = createContract(), waitMs = 20_000): { service: ShareService, clock: ManualClock } {
  const clock = new ManualClock()
  const net = new SimulatedNetwork(createRandom(1), () => 1)
  let service: ShareService | undefined
  net.start({ name: 'a1', role: 'entry', incarnation: 1 }, (messenger) => {
    service = new ShareService({ host: 'a1', incarnation: 1, clock, messenger })
    service.setConfig(createDoc({ hosts: [createHost('a1')], contracts: [contract] }))
    return service
  })
  clock.advance(waitMs)
  service!.tick(clock.nowMs())
  return { service: service!, clock }
}

function createRequest (clock: ManualClock, deadlineMs = 1_000, signal = new AbortController().signal) {
  return { customer: 'gyms', workClass: 'interactive', deadlineAtMs: clock.nowMs() + deadlineMs, signal } as const
}

// Guards against refusals that do not name the limit that was reached, or the time after which to retry.
test('refusals name their limit', async () => {
  const { service, clock } = startAlone(createContract({ rate: 1, burst: 1, concurrency: 2 }))
  expect((await service.admit(createRequest(clock))).isOk()).toEqual(true)
  const late = (await service.admit(createRequest(clock, 500)))._unsafeUnwrapErr()
  expect([late.name, late.outcome, late.retryAfterMs! > 0]).toEqual(['rateCap', 'not-run', true])
  const waiting = [service.admit(createRequest(clock, 9_000)), service.admit(createRequest(clock, 9_000))]
  expect((await service.admit(createRequest(clock, 9_000)))._unsafeUnwrapErr().name).toEqual('queueFull')
  clock.advance(1_000)
  service.tick(clock.nowMs())
  expect((await waiting[0]!).isOk()).toEqual(true)
  clock.advance(6_000)
  service.tick(clock.nowMs())
  expect((await waiting[1]!)._unsafeUnwrapErr().name).toEqual('concurrencyCap')
})

// Guards against a restarted host that uses permits which its earlier process may have lent.
test('a started host waits before it uses its portion', async () => {
  const { service, clock } = startAlone(createContract(), 0)
  const early = service.admit(createRequest(clock))
  clock.advance(900)
  service.tick(clock.nowMs())
  const refusal = (await early)._unsafeUnwrapErr()
  expect([refusal.name, refusal.retryAfterMs]).toEqual(['quarantine', 12_100])
  clock.advance(12_100)
  expect((await service.admit(createRequest(clock))).isOk()).toEqual(true)
})

// Guards against serving a late deadline before a near one, and against serving a caller that has disconnected.
test('the nearest deadline is served first', async () => {
  const { service, clock } = startAlone(createContract({ concurrency: 4, rate: 10, burst: 1 }))
  const order: string[] = []
  const gone = new AbortController()
  await service.admit(createRequest(clock))
  service.admit(createRequest(clock, 8_000)).then((result) => order.push(`late ${result.isOk()}`))
  service.admit(createRequest(clock, 4_000, gone.signal)).then((result) => order.push(`gone ${result.isOk()}`))
  service.admit(createRequest(clock, 6_000)).then((result) => order.push(`near ${result.isOk()}`))
  gone.abort()
  for (let step = 0; step < 30; step += 1) {
    clock.advance(10)
    service.tick(clock.nowMs())
    await Promise.resolve()
    await Promise.resolve()
    await Promise.resolve()
  }
  expect(order).toEqual(['gone false', 'near true', 'late true'])
})

// Guards against upload traffic over the cap.
test('upload bytes are paced', async () => {
  const { service, clock } = startAlone(createContract({ uploadBytesPerSecond: 1_000_000 }))
  const permit = (await service.admit(createRequest(clock)))._unsafeUnwrap()
  expect(permit.reserveUploadBytes(250_000)).toEqual(0)
  expect(permit.reserveUploadBytes(500_000)).toEqual(500)
  clock.advance(500)
  expect(permit.reserveUploadBytes(100_000)).toEqual(100)
})

// Guards against a region that exceeds its share, and against a permit that is released twice.
test('the region share is enforced and a release counts once', async () => {
  const { service, clock } = startAlone(createContract({ concurrency: 4, regionShare: 0.5 }))
  const permits = await Promise.all([1, 2, 3].map(async () => (await service.admit(createRequest(clock)))._unsafeUnwrap()))
  expect(permits.map((permit) => permit.enterRegion('north'))).toEqual([true, true, false])
  permits[0]!.release()
  permits[0]!.release()
  expect([permits[2]!.enterRegion('north'), service.listUses()[0]!.inFlight]).toEqual([true, 2])
})

// Guards against retries that multiply the load in an outage.
test('retries are limited to a tenth of the admitted requests', async () => {
  const { service, clock } = startAlone(createContract({ rate: 1_000, burst: 200, concurrency: 200 }))
  for (let count = 0; count < 100; count += 1) await service.admit(createRequest(clock))
  let retries = 0
  while (service.takeRetry('gyms')) retries += 1
  expect(retries).toBeGreaterThanOrEqual(10)
  expect(retries).toBeLessThanOrEqual(14)
})

// Guards against work on each tick for customers without activity.
test('rows of idle customers are dropped', async () => {
  const contracts = Array.from({ length: 5_000 }, (_, index) => createContract({ customer: index === 0 ? 'gyms' : `c${index}` }))
  const { service, clock } = startAlone()
  service.setConfig(createDoc({ version: 2, hosts: [createHost('a1')], contracts }))
  const permit = (await service.admit(createRequest(clock)))._unsafeUnwrap()
  expect(service.rowCount).toEqual(1)
  permit.release()
  for (let second = 0; second < 40; second += 1) {
    clock.advance(1_000)
    service.tick(clock.nowMs())
  }
  expect(service.rowCount).toEqual(0)
})

// Guards against loans that a borrower keeps after it stops or no longer needs them.
test('loans are returned when idle and at a stop', async () => {
  for (const isStopped of [false, true]) {
    const cluster = new ShareCluster(createDoc())
    await cluster.start()
    await cluster.run(2_000, ['a1'], 140, 20)
    if (isStopped) cluster.services.get('a1')!.prepareStop()
    await cluster.run(isStopped ? 300 : 4_000, [], 0, 0)
    const before = cluster.admitted
    await cluster.run(100, hostNames.slice(1), 60, 20, 400)
    expect(cluster.admitted - before).toBeGreaterThanOrEqual(30)
  }
})

// Guards against a lowered cap that is not in force, or is exceeded, after 6 s.
test('a lowered cap is in force within 6 s', async () => {
  const cluster = new ShareCluster(createDoc())
  await cluster.start()
  await cluster.run(3_000, ['a1', 'f1'], 100, 50)
  const lowered = createContract({ rate: 30, burst: 10, concurrency: 20, version: 2 })
  const prior = { ...createContract(), untilVersion: 2, hosts: [...hostNames] }
  for (const service of cluster.services.values()) service.setConfig(createDoc({ version: 2, contracts: [lowered], priorCaps: [prior] }))
  for (let step = 0; step < 12; step += 1) {
    await cluster.run(500, ['a1', 'f1'], 100, 50)
    cluster.sendViews()
  }
  expect([...cluster.services.values()].map(({ appliedVersion }) => appliedVersion)).toEqual(hostNames.map(() => 2))
  const before = cluster.admitted
  await cluster.run(10_000, ['a1', 'f1'], 100, 50)
  expect(cluster.admitted - before).toBeLessThanOrEqual(310)
  expect(cluster.admitted - before).toBeGreaterThanOrEqual(285)
})
