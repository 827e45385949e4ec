import { expect } from 'earl'
import { test } from 'node:test'
import { ColdStartRateLimiter } from '../../src/budget/ColdStartRateLimiter.js'
import { NamedRateLimiter } from '../../src/budget/NamedRateLimiter.js'
import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import type { EndpointRecord } from '../../src/endpoints/EndpointRecord.js'
import { LocalShares } from '../../src/placing/LocalShares.js'
import { EndpointSelector } from '../../src/placing/EndpointSelector.js'
import type { Route } from '../../src/routing/Route.js'
import { RoutingTable } from '../../src/routing/RoutingTable.js'
import { createEndpoint } from '../support/createEndpoint.js'
import { createRoute } from '../support/createRoute.js'
import { createRoutingConfig } from '../support/createRoutingConfig.js'

/** Sets up a selector at a host in `north`, with endpoints in `north` and `south`. */
class SelectorFixture {
  readonly endpoints = new EndpointTable((zone) => zone.split('-')[0]!, () => 2_500)
  readonly evacuated = new Set<string>()
  readonly shares = new LocalShares()
  /** Round trip time in ms to the other region. */
  roundTripMs = 0
  readonly selector: EndpointSelector

  constructor (records: readonly EndpointRecord[], random = (): number => 0) {
    const routing = new RoutingTable()
    routing.apply(createRoutingConfig())
    this.endpoints.update(records, { nowMs: 0, mayHaveLapsed: false })
    this.selector = new EndpointSelector({
      region: 'north',
      endpoints: this.endpoints,
      routing,
      coldStartLimiter: new ColdStartRateLimiter('me', () => ['me']),
      namedRateLimiter: new NamedRateLimiter('me', () => ['me']),
      shares: this.shares,
      getRoundTripMs: (region) => region === 'north' ? 0 : this.roundTripMs,
      evacuated: this.evacuated,
      random
    })
  }

  /** Records that an endpoint handles a request for an object. */
  visit (endpoint: string, object: string, route: Route = createRoute()): void {
    this.selector.recordVisit(this.endpoints.get(endpoint)!, { route, service: 'stock', object }, 10)
  }

  choose (object: string | undefined, route: Route = createRoute(), excluded: readonly string[] = []): string | undefined {
    return this.selector.choose({ route, service: 'stock', object, remainingMs: 2_000, excluded: new Set(excluded) }, 10)?.record.id
  }
}

const six = ['n1', 'n2', 'n3', 's1', 's2', 's3'].map((id) => createEndpoint(id, { zone: id.startsWith('n') ? 'north-a' : 'south-a' }))

// Guards against requests for an object that are spread over all endpoints, so that none has handled it recently.
test('requests for an object go to the same endpoint', () => {
  const fixture = new SelectorFixture(six)
  expect(new Set(Array.from({ length: 20 }, () => fixture.choose('object-7'))).size).toEqual(1)
})

// Guards against an endpoint that receives all requests for a popular object.
test('requests spill over from an endpoint with a long queue', () => {
  const fixture = new SelectorFixture(six)
  const first = fixture.choose('object-7')!
  fixture.endpoints.get(first)!.inFlight = 10
  expect(fixture.choose('object-7') === first).toEqual(false)
})

// Guards against requests that avoid a short wait at the cost of a longer service time at an endpoint that is new to the object.
test('a short wait is preferred to an endpoint that has not handled the object', () => {
  const fixture = new SelectorFixture(six)
  for (const row of fixture.endpoints) row.serviceTimeMs = 100
  const first = fixture.choose('object-7')!
  fixture.visit(first, 'object-7')
  fixture.endpoints.get(first)!.inFlight = 4
  expect(fixture.choose('object-7')).toEqual(first)
  for (const row of fixture.endpoints) if (row.record.id !== first) fixture.visit(row.record.id, 'object-7')
  expect(fixture.choose('object-7') === first).toEqual(false)
})

// Guards against sending a request to an endpoint that knows its object from requests of another kind only, past one that knows it.
test('an endpoint that handled another kind of request for an object is new to it', () => {
  const fixture = new SelectorFixture(six)
  const order = createRoute({ name: 'r-2', kind: 'once' })
  const first = fixture.choose('object-7')!
  const second = fixture.choose('object-7', createRoute(), [first])!
  fixture.visit(first, 'object-7', order)
  fixture.visit(second, 'object-7')
  expect([fixture.choose('object-7', order), fixture.choose('object-7')]).toEqual([first, second])
})

// Guards against doing the work for a new object twice, because a second request comes while the first is at work elsewhere.
test('requests follow the first one for their object while it runs', () => {
  const fixture = new SelectorFixture(six)
  const first = fixture.choose('object-7')!
  const second = fixture.choose('object-7', createRoute(), [first])!
  fixture.visit(second, 'object-7')
  expect(fixture.choose('object-7')).toEqual(second)
  fixture.selector.forgetVisit(fixture.endpoints.get(second)!, { route: createRoute(), service: 'stock', object: 'object-7' })
  expect(fixture.choose('object-7')).toEqual(first)
})

// Guards against a spill at low utilization that makes every endpoint handle every object, and forget those that it knew.
test('an object stays at its affinity endpoints while they can take it', () => {
  const fixture = new SelectorFixture(six)
  const chosen = new Set<string>()
  for (let count = 0; count < 16; count++) {
    const id = fixture.choose('object-7')!
    chosen.add(id)
    fixture.endpoints.get(id)!.inFlight += 1
  }
  expect(chosen.size <= 4).toEqual(true)
})

// Guards against a loaded service in which requests that their affinity endpoints can't take make others forget their objects.
test('a request that no affinity endpoint can take is refused under load', () => {
  const fixture = new SelectorFixture(six)
  for (let count = 0; count < 4; count++) fixture.endpoints.get(fixture.choose('object-7')!)!.shedBackoffUntilMs = 100
  for (const row of fixture.endpoints) row.inFlight = 2
  expect(fixture.choose('object-7')).toEqual(undefined)
})

// Guards against refusing a request because its affinity endpoints are full, although most slots are free.
test('another endpoint takes a request that no affinity endpoint can take', () => {
  const fixture = new SelectorFixture(six)
  for (let count = 0; count < 4; count++) fixture.endpoints.get(fixture.choose('object-7')!)!.shedBackoffUntilMs = 100
  expect(fixture.choose('object-7') === undefined).toEqual(false)
})

// Guards against a far endpoint that is preferred for a slightly shorter wait than the network delay.
test('the round trip to another region counts as delay', () => {
  const fixture = new SelectorFixture(six)
  fixture.shares.moveToward('stock', 1, 1, 0)
  for (const row of fixture.endpoints) {
    row.serviceTimeMs = 100
    if (row.region === 'north') row.inFlight = row.record.slots
    fixture.visit(row.record.id, 'object-7')
  }
  expect(fixture.choose('object-7')!.startsWith('s')).toEqual(true)
  fixture.roundTripMs = 70
  expect(fixture.choose('object-7')!.startsWith('n')).toEqual(true)
})

// Guards against a slot that works for a caller whose timeout passes before the response.
test('no request waits where it can\'t be answered before its timeout', () => {
  const fixture = new SelectorFixture(six)
  const route = createRoute({ timeoutMs: 720 })
  const request = { route, service: 'stock', object: 'object-7', remainingMs: 720, excluded: new Set<string>() }
  for (const row of fixture.endpoints) {
    Object.assign(row, { inFlight: row.record.slots, serviceTimeMs: 200 })
    for (let count = 0; count < 20; count++) fixture.selector.recordDuration(row, request, false, 700)
  }
  expect([fixture.selector.choose({ ...request, remainingMs: 2_000 }, 10) === undefined, fixture.selector.choose(request, 10)]).toEqual([false, undefined])
})

// Guards against refusing all requests for ever after a timeout was lowered, since only responses correct the expected time.
test('a free slot is used although no response is expected in time', () => {
  const fixture = new SelectorFixture(six)
  const request = { route: createRoute(), service: 'stock', object: 'object-7', remainingMs: 100, excluded: new Set<string>() }
  for (const row of fixture.endpoints) for (let count = 0; count < 20; count++) fixture.selector.recordDuration(row, request, false, 700)
  expect(fixture.selector.choose(request, 10) === undefined).toEqual(false)
})

// Guards against a loaded service in which every endpoint handles every object and none has handled its objects recently.
test('under load an object stays at its affinity endpoints', () => {
  const fixture = new SelectorFixture(six)
  for (const row of fixture.endpoints) Object.assign(row, { serviceTimeMs: 100, inFlight: 3 })
  const chosen = new Set<string>()
  for (let count = 0; count < 40; count++) {
    const id = fixture.choose('object-7')
    if (id === undefined) break
    chosen.add(id)
    fixture.endpoints.get(id)!.inFlight += 1
  }
  expect(chosen.size <= 4).toEqual(true)
})

// Guards against unbounded queues when all endpoints are full.
test('no endpoint is selected when all have long queues', () => {
  const fixture = new SelectorFixture(six)
  for (const row of fixture.endpoints) row.inFlight = 10
  expect(fixture.choose('object-7')).toEqual(undefined)
})

// Guards against requests to endpoints in an evacuated zone or in a region that may not serve the route.
test('endpoints in evacuated zones and disallowed regions are not selected', () => {
  const fixture = new SelectorFixture(six)
  fixture.evacuated.add('north-a')
  for (let object = 0; object < 20; object++) expect(fixture.choose(`object-${object}`)?.startsWith('s')).toEqual(true)
  expect(fixture.choose('object-1', createRoute({ regions: ['north'] }))).toEqual(undefined)
})

// Guards against a retry at the endpoint that has just failed.
test('excluded endpoints are not selected', () => {
  const fixture = new SelectorFixture(six)
  const first = fixture.choose('object-7')!
  expect(fixture.choose('object-7', createRoute(), [first]) === first).toEqual(false)
})

// Guards against cross-region requests while the local region has capacity.
test('the local share of the objects stays in the region', () => {
  const fixture = new SelectorFixture(six)
  fixture.shares.moveToward('stock', 1, 1, 0)
  for (let object = 0; object < 30; object++) expect(fixture.choose(`object-${object}`)?.startsWith('n')).toEqual(true)
})

// Guards against a widespread failure after which no endpoint is tried although all may respond again.
test('some endpoints are still selected when all are suspect', () => {
  const fixture = new SelectorFixture(six)
  for (const row of fixture.endpoints) row.isSuspect = true
  expect(fixture.choose('object-7') === undefined).toEqual(false)
})

// Guards against ejections that remove most endpoints of a service.
test('ejection is limited to a share of the endpoints', () => {
  const fixture = new SelectorFixture(six)
  for (const row of fixture.endpoints) row.ejectedUntilMs = 1_000
  const chosen = new Set(Array.from({ length: 40 }, (_value, object) => fixture.choose(`object-${object}`)))
  expect(chosen.size > 3).toEqual(true)
})

// Guards against a slow endpoint that receives as many requests as the others.
test('a slow endpoint counts with fewer slots', () => {
  const fixture = new SelectorFixture(six)
  for (const row of fixture.endpoints) row.serviceTimeMs = 100
  const first = fixture.choose('object-7')!
  Object.assign(fixture.endpoints.get(first)!, { serviceTimeMs: 800, inFlight: 1 })
  expect(fixture.choose('object-7') === first).toEqual(false)
})

// Guards against a limited endpoint that is chosen and then refused, although another one could take the request.
test('an endpoint that has used up its named limit is left out', () => {
  const fixture = new SelectorFixture(six)
  const first = fixture.choose('object-7')!
  fixture.endpoints.get(first)!.announced.rateLimit = { perSecond: 1, heardAtMs: 0 }
  expect(fixture.choose('object-7')).toEqual(first)
  expect([first, undefined].includes(fixture.choose('object-7'))).toEqual(false)
})

// Guards against a permit for one rate that is lost because another rate of the endpoint denies the request.
test('a cold endpoint that names a limit is bound by the lower rate', () => {
  const [record] = six
  const fixture = new SelectorFixture([record!])
  const row = fixture.endpoints.get(record!.id)!
  row.coldUntilMs = 1_000
  row.announced.rateLimit = { perSecond: 0, heardAtMs: 0 }
  expect([fixture.choose('object-7'), fixture.choose('object-7')]).toEqual([record!.id, undefined])
})
