import { test } from 'node:test'
import { expect } from 'earl'
import { RouteFinder } from '../../src/host/RouteFinder.js'
import { RoutingTable } from '../../src/routing/RoutingTable.js'
import { createRoute } from '../support/createRoute.js'
import { createRoutingConfig } from '../support/createRoutingConfig.js'

const maxUnconfirmedMs = 2_500

/** Returns what becomes of a request on a path: the name of its route, or the result code. */
function find (path: string, state: { unconfirmedMs?: number, behindMs?: number }): string {
  const routing = new RoutingTable()
  routing.apply(createRoutingConfig({ routes: [createRoute({ name: 'r-read', host: 'shop.example', prefix: '/read/' })] }))
  const finder = new RouteFinder({
    routing,
    getUnconfirmedMs: () => state.unconfirmedMs ?? 0,
    getBehindMs: () => state.behindMs ?? 0,
    getMaxUnconfirmedMs: () => maxUnconfirmedMs
  })
  return finder.find('shop.example', path).match((route) => route.name, (failure) => failure.name)
}

test('a path without a route is denied by a confirmed copy', () => {
  expect(find('/other/1', { unconfirmedMs: maxUnconfirmedMs })).toEqual('unknownService')
})

// Guards against a final 404 for a route that a newer configuration adds (issue 44).
test('a path without a route is not denied while a newer configuration may have one', () => {
  const states = [{ unconfirmedMs: maxUnconfirmedMs + 1 }, { unconfirmedMs: Infinity }, { behindMs: 1 }]
  expect(states.map((state) => find('/other/1', state))).toEqual(['configUnconfirmed', 'configUnconfirmed', 'configUnconfirmed'])
})

// Guards against an outage of the store that becomes one of all routes.
test('a known route is served from a copy that is not confirmed', () => {
  expect(find('/read/1', { unconfirmedMs: Infinity, behindMs: 5_000 })).toEqual('r-read')
})
