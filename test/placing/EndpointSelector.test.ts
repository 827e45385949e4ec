import { expect } from 'earl'
import { test } from 'node:test'
import { ColdStartRateLimiter } from '../../src/budget/ColdStartRateLimiter.js'
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
  readonly endpoints = new EndpointTable((zone) => zone.split('-')[0]!)
  readonly evacuated = new Set<string>()
  readonly shares = new LocalShares()
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
      shares: this.shares,
      evacuated: this.evacuated,
      random
    })
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
  fixture.selector.recordSuccess(first, 'object-7', 10)
  fixture.endpoints.get(first)!.inFlight = 4
  expect(fixture.choose('object-7')).toEqual(first)
  for (const row of fixture.endpoints) if (row.record.id !== first) fixture.selector.recordSuccess(row.record.id, 'object-7', 10)
  expect(fixture.choose('object-7') === first).toEqual(false)
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
