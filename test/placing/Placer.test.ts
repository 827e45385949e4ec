import { expect } from 'earl'
import { test } from 'node:test'
import { ColdBudget } from '../../src/budget/ColdBudget.js'
import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import type { EndpointRecord } from '../../src/endpoints/EndpointRecord.js'
import { LocalShares } from '../../src/placing/LocalShares.js'
import { Placer } from '../../src/placing/Placer.js'
import type { Route } from '../../src/routing/Route.js'
import { RoutingTable } from '../../src/routing/RoutingTable.js'
import { createEndpoint } from '../support/createEndpoint.js'
import { createRoute } from '../support/createRoute.js'
import { createRoutingConfig } from '../support/createRoutingConfig.js'

/** A placer over endpoints in `north` and `south`, seen from `north`. */
class SelectorFixture {
  readonly endpoints = new EndpointTable((zone) => zone.split('-')[0]!)
  readonly evacuated = new Set<string>()
  readonly shares = new LocalShares()
  readonly selector: Placer

  constructor (records: readonly EndpointRecord[], random = (): number => 0) {
    const routing = new RoutingTable()
    routing.apply(createRoutingConfig())
    this.endpoints.update(records, { nowMs: 0, mayHaveLapsed: false })
    this.selector = new Placer({
      region: 'north',
      endpoints: this.endpoints,
      routing,
      cold: new ColdBudget('me', () => ['me']),
      shares: this.shares,
      evacuated: this.evacuated,
      random
    })
  }

  choose (object: string | undefined, route: Route = createRoute(), excluded: readonly string[] = []): string | undefined {
    return this.selector.choose({ route, service: 'stock', object, leftMs: 2_000, excluded: new Set(excluded) }, 10)?.record.id
  }
}

const six = ['n1', 'n2', 'n3', 's1', 's2', 's3'].map((id) => createEndpoint(id, { zone: id.startsWith('n') ? 'north-a' : 'south-a' }))

// Guards against requests for one object that are spread over all endpoints, none of which is warm then.
test('requests for one object share an endpoint', () => {
  const fixture = new SelectorFixture(six)
  expect(new Set(Array.from({ length: 20 }, () => fixture.choose('object-7'))).size).toEqual(1)
})

// Guards against an endpoint that gets all requests for a popular object.
test('an endpoint with a long queue passes requests on', () => {
  const fixture = new SelectorFixture(six)
  const first = fixture.choose('object-7')!
  fixture.endpoints.get(first)!.inFlight = 10
  expect(fixture.choose('object-7') === first).toEqual(false)
})

// Guards against objects that are taken to endpoints that are slow with them to save a short wait.
test('a short wait is preferred to an endpoint that does not know the object', () => {
  const fixture = new SelectorFixture(six)
  for (const row of fixture.endpoints) row.serviceTimeMs = 100
  const first = fixture.choose('object-7')!
  fixture.selector.noteAnswer(first, 'object-7', 10)
  fixture.endpoints.get(first)!.inFlight = 4
  expect(fixture.choose('object-7')).toEqual(first)
  for (const row of fixture.endpoints) if (row.record.id !== first) fixture.selector.noteAnswer(row.record.id, 'object-7', 10)
  expect(fixture.choose('object-7') === first).toEqual(false)
})

// Guards against a loaded service in which every endpoint works for every object and none is familiar with its own.
test('under load an object stays with its sharers', () => {
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

// Guards against work that is queued without a bound when everything is full.
test('no endpoint is chosen when all have long queues', () => {
  const fixture = new SelectorFixture(six)
  for (const row of fixture.endpoints) row.inFlight = 10
  expect(fixture.choose('object-7')).toEqual(undefined)
})

// Guards against requests for endpoints that an operator evacuated or that may not serve the route.
test('evacuated zones and forbidden regions are left out', () => {
  const fixture = new SelectorFixture(six)
  fixture.evacuated.add('north-a')
  for (let object = 0; object < 20; object++) expect(fixture.choose(`object-${object}`)?.startsWith('s')).toEqual(true)
  expect(fixture.choose('object-1', createRoute({ regions: ['north'] }))).toEqual(undefined)
})

// Guards against a second attempt at the endpoint that just failed.
test('excluded endpoints are left out', () => {
  const fixture = new SelectorFixture(six)
  const first = fixture.choose('object-7')!
  expect(fixture.choose('object-7', createRoute(), [first]) === first).toEqual(false)
})

// Guards against the cost of other regions while the own one has room.
test('the local share of the objects stays in the region', () => {
  const fixture = new SelectorFixture(six)
  fixture.shares.moveToward('stock', 1, 1, 0)
  for (let object = 0; object < 30; object++) expect(fixture.choose(`object-${object}`)?.startsWith('n')).toEqual(true)
})

// Guards against a common failure that leaves no endpoint to use although all might answer.
test('when all are suspect some are still used', () => {
  const fixture = new SelectorFixture(six)
  for (const row of fixture.endpoints) row.isSuspect = true
  expect(fixture.choose('object-7') === undefined).toEqual(false)
})

// Guards against ejections that take most of a service away.
test('ejection is bounded to a share of the endpoints', () => {
  const fixture = new SelectorFixture(six)
  for (const row of fixture.endpoints) row.ejectedUntilMs = 1_000
  const chosen = new Set(Array.from({ length: 40 }, (_value, object) => fixture.choose(`object-${object}`)))
  expect(chosen.size > 3).toEqual(true)
})

// Guards against a slow endpoint that gets as much as the others.
test('a slow endpoint counts as smaller', () => {
  const fixture = new SelectorFixture(six)
  for (const row of fixture.endpoints) row.serviceTimeMs = 100
  const first = fixture.choose('object-7')!
  Object.assign(fixture.endpoints.get(first)!, { serviceTimeMs: 800, inFlight: 1 })
  expect(fixture.choose('object-7') === first).toEqual(false)
})
