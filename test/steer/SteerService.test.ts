import { test } from 'node:test'
import { expect } from 'earl'
import { ManualClock } from '../../src/common/ManualClock.js'
import type { ConfigDoc } from '../../src/model/ConfigDoc.js'
import type { Member } from '../../src/model/Member.js'
import { MemberState } from '../../src/model/MemberState.js'
import { WorkClass } from '../../src/model/WorkClass.js'
import { AttemptResult } from '../../src/steer/AttemptResult.js'
import type { EndpointReport } from '../../src/steer/EndpointReport.js'
import type { SteerRequest } from '../../src/steer/SteerRequest.js'
import { SteerService } from '../../src/steer/SteerService.js'
import { createConfigDoc } from '../support/createConfigDoc.js'
import { createMember } from '../support/createMember.js'

const ready: EndpointReport = { state: 'ready', used: 0, slots: 5 }

function createService (doc: ConfigDoc, members: Member[], host = 'north-a-1') {
  const clock = new ManualClock()
  const service = new SteerService({ host, clock, random: () => 0.5 })
  service.setConfig(doc)
  service.setView({ seq: 1, contactAgeMs: 0, configVersion: 1, isFirstStart: false, members, leavingEndpoints: [], leavingHosts: [] })
  return { clock, service }
}

function createRequest (clock: ManualClock, change: Partial<SteerRequest> = {}): SteerRequest {
  return {
    customer: 'c',
    service: 'stock',
    workClass: WorkClass.interactive,
    priority: 1,
    moveStep: 0.2,
    waitUntilMs: clock.nowMs(),
    excluded: new Set(),
    allowsRegion: () => true,
    signal: new AbortController().signal,
    ...change
  }
}

const oneEndpoint = createConfigDoc({ hosts: ['north-a-1', 'north-b-1'], endpoints: [{}] })
const bothAlive = [createMember('north-a-1'), createMember('north-b-1')]

// Guards against sending more requests to an endpoint than it has slots.
test('reserves at most the slots of an endpoint', async () => {
  const { clock, service } = createService(oneEndpoint, bothAlive)
  service.recordReport('stock-1', ready, true)
  const results = await Promise.all(Array.from({ length: 8 }, async () => await service.choose(createRequest(clock))))
  expect(results.filter((result) => result.isOk()).length).toEqual(5)
  expect(results[7]!._unsafeUnwrapErr().name).toEqual('noCapacity')
})

// Guards against requests to an endpoint that has never reported.
test('an endpoint gets no requests before its first report', async () => {
  const { clock, service } = createService(oneEndpoint, bothAlive)
  expect((await service.choose(createRequest(clock))).isErr()).toEqual(true)
})

// Guards against an overload by reports that stay at "idle" while requests are in flight.
test('a report with fewer used slots than requests in flight frees no slots', async () => {
  const { clock, service } = createService(oneEndpoint, bothAlive)
  service.recordReport('stock-1', ready, true)
  for (let i = 0; i < 5; i++) await service.choose(createRequest(clock))
  service.recordReport('stock-1', ready, false)
  expect((await service.choose(createRequest(clock))).isErr()).toEqual(true)
  expect(service.counters.understatedReports).toEqual(1)
})

// Guards against excluding an endpoint for ever when its reports are stuck at "full".
test('served requests correct a report that is stuck at full', async () => {
  const { clock, service } = createService(oneEndpoint, bothAlive)
  for (let i = 0; i < 40; i++) {
    service.recordReport('stock-1', { ...ready, used: 5 }, true)
    const target = (await service.choose(createRequest(clock)))._unsafeUnwrap()
    clock.advance(10)
    target.release(AttemptResult.ok, 10)
  }
  expect((await service.choose(createRequest(clock))).isOk()).toEqual(true)
})

// Guards against an outage when reports stop while the endpoint still serves requests.
test('without recent reports the requests in flight limit the slots', async () => {
  const { clock, service } = createService(oneEndpoint, bothAlive)
  service.recordReport('stock-1', ready, true)
  clock.advance(60_000)
  const results = await Promise.all(Array.from({ length: 6 }, async () => await service.choose(createRequest(clock))))
  expect(results.filter((result) => result.isOk()).length).toEqual(5)
})

// Guards against sending full load to a cold endpoint.
test('a cold endpoint ramps from one slot to all', async () => {
  const { clock, service } = createService(oneEndpoint, bothAlive)
  const slotsAt = (ms: number): number => {
    clock.advance(ms)
    return service.listLoads()[0]!.slots
  }
  service.recordReport('stock-1', { ...ready, state: 'cold' }, true)
  expect([slotsAt(0), slotsAt(2_500), slotsAt(2_500), slotsAt(5_000)]).toEqual([1, 2, 3, 5])
})

// Guards against new requests to an endpoint that reports that it is draining.
test('an endpoint that reports draining gets no new requests', async () => {
  const { clock, service } = createService(oneEndpoint, bothAlive)
  service.recordReport('stock-1', ready, true)
  service.recordReport('stock-1', { ...ready, state: 'draining' }, false)
  expect((await service.choose(createRequest(clock))).isErr()).toEqual(true)
  expect(service.listLeavingEndpoints()).toEqual(['stock-1'])
})

// Guards against a drain that waits for the platform's list or the endpoint.
test('an operator drain stops new requests at once and keeps requests in flight', async () => {
  const { clock, service } = createService(oneEndpoint, bothAlive)
  service.recordReport('stock-1', ready, true)
  const target = (await service.choose(createRequest(clock)))._unsafeUnwrap()
  service.setConfig({ ...oneEndpoint, version: 2, drains: [{ kind: 'upstream', name: 'stock-1', by: 'anna', atMs: 0 }] })
  expect((await service.choose(createRequest(clock))).isErr()).toEqual(true)
  expect(service.drainInFlight()).toEqual({ 'stock-1': 1 })
  target.release(AttemptResult.ok, 5)
  expect(service.drainInFlight()).toEqual({ 'stock-1': 0 })
})

// Guards against two hosts that both use an endpoint while its primary may be alive.
test('an adopter needs a fresh view and a fresh probe', async () => {
  const dead = [createMember('north-a-1', {}, { state: MemberState.dead }), createMember('north-b-1')]
  const { clock, service } = createService(oneEndpoint, dead, 'north-b-1')
  service.recordReport('stock-1', { ...ready, used: 3 }, true)
  const results = await Promise.all(Array.from({ length: 4 }, async () => await service.choose(createRequest(clock))))
  expect(results.filter((result) => result.isOk()).length).toEqual(2)
  clock.advance(2_100)
  service.tick(clock.nowMs())
  expect(service.takeDueProbes(clock.nowMs())).toEqual([])
})

// Guards against sending the same load again at once to an endpoint that sheds.
test('shedding reduces the slots of an endpoint, which return one by one', async () => {
  const { clock, service } = createService(oneEndpoint, bothAlive)
  service.recordReport('stock-1', ready, true)
  const targets = await Promise.all([1, 2, 3].map(async () => (await service.choose(createRequest(clock)))._unsafeUnwrap()))
  targets[0]!.release(AttemptResult.shed, 1)
  expect(service.listLoads()[0]!.slots).toEqual(2)
  clock.advance(2_000)
  expect(service.listLoads()[0]!.slots).toEqual(4)
})

// Guards against choosing an endpoint again and again that refuses connections.
test('an endpoint that fails twice is ejected until a probe succeeds, then ramps', async () => {
  const { clock, service } = createService(oneEndpoint, bothAlive)
  service.recordReport('stock-1', ready, true)
  for (let i = 0; i < 2; i++) (await service.choose(createRequest(clock)))._unsafeUnwrap().release(AttemptResult.refused, 1)
  expect((await service.choose(createRequest(clock))).isErr()).toEqual(true)
  service.recordReport('stock-1', ready, true)
  expect(service.listLoads()[0]!.slots).toEqual(1)
})

// Guards against a customer with very many requests that delays the requests of others.
test('slots are shared between customers by priority', async () => {
  const { clock, service } = createService(oneEndpoint, bothAlive)
  service.recordReport('stock-1', ready, true)
  const first = await Promise.all(Array.from({ length: 5 }, async () => (await service.choose(createRequest(clock)))._unsafeUnwrap()))
  const served: string[] = []
  const enqueue = (customer: string, priority: number): void => {
    service.choose(createRequest(clock, { customer, priority, waitUntilMs: 10_000 })).then((result) => {
      if (result.isOk()) served.push(customer)
    }).catch(() => {})
  }
  for (let i = 0; i < 20; i++) enqueue('flood', 1)
  for (let i = 0; i < 4; i++) enqueue('small', 2)
  for (const target of first) target.release(AttemptResult.ok, 5)
  await new Promise((resolve) => setImmediate(resolve))
  expect(served.filter((customer) => customer === 'small').length).toBeGreaterThanOrEqual(3)
})

// Guards against waits beyond their deadline, and against requests that are lost in the queue.
test('an expired wait ends with a refusal of outcome not-run', async () => {
  const { clock, service } = createService(oneEndpoint, bothAlive)
  service.recordReport('stock-1', ready, true)
  for (let i = 0; i < 5; i++) await service.choose(createRequest(clock))
  const waiting = service.choose(createRequest(clock, { waitUntilMs: 100 }))
  clock.advance(101)
  service.tick(clock.nowMs())
  const failure = (await waiting)._unsafeUnwrapErr()
  expect([failure.name, failure.outcome]).toEqual(['noCapacity', 'not-run'])
})

const stockLoad = (slots: number, used: number) => ({ loads: [{ service: 'stock', slots, used, queued: 0, serviceMs: 20 }] })

// Guards against moving the whole traffic of a region to another one in one step.
test('traffic to another region grows step by step', async () => {
  const members = [createMember('north-a-1'), createMember('north-b-1'), createMember('south-a-1', stockLoad(60, 0))]
  const { clock, service } = createService(createConfigDoc(), members)
  const admit = async (): Promise<number> => {
    let count = 0
    while ((await service.choose(createRequest(clock))).isOk()) count += 1
    return count
  }
  const first = await admit()
  clock.advance(1_000)
  const later = await admit()
  expect([first <= 5, later > 0, later <= 5]).toEqual([true, true, true])
})

// Guards against an objective that changes nothing: weight on latency keeps requests in the region,
// weight on headroom uses free slots elsewhere.
test('the objective decides between a busy near owner and an idle distant one', async () => {
  const members = [createMember('north-a-1'), createMember('north-b-1', stockLoad(20, 16)), createMember('south-a-1', stockLoad(20, 2))]
  const regionFor = async (latency: number, headroom: number): Promise<string> => {
    const { clock, service } = createService(createConfigDoc({ change: { objective: { latency, headroom } } }), members)
    return (await service.choose(createRequest(clock)))._unsafeUnwrap().region
  }
  expect([await regionFor(0.8, 0.2), await regionFor(0.2, 0.8)]).toEqual(['north', 'south'])
})

// Guards against more forwards to an owner than the free slots in its digest.
test('forwards since the digest count against its free slots', async () => {
  const members = [createMember('north-a-1'), createMember('north-b-1', stockLoad(4, 1)), createMember('south-a-1')]
  const { clock, service } = createService(createConfigDoc(), members)
  const results = await Promise.all(Array.from({ length: 5 }, async () => await service.choose(createRequest(clock))))
  expect(results.filter((result) => result.isOk()).length).toEqual(3)
})
