import { expect } from 'earl'
import { test } from 'node:test'
import { RoutingTable } from '../../src/routing/RoutingTable.js'
import { createRoute } from '../support/createRoute.js'
import { createRoutingConfig } from '../support/createRoutingConfig.js'

const routes = [
  createRoute({ name: 'short', prefix: '/a/' }),
  createRoute({ name: 'long', prefix: '/a/b/' }),
  createRoute({ name: 'other', host: 'else.example', prefix: '/' })
]

// Guards against a request that is sent to the service of a shorter prefix.
test('the route with the longest matching prefix is selected', () => {
  const table = new RoutingTable()
  table.apply(createRoutingConfig({ routes }))
  expect(table.find('shop.example', '/a/b/c')?.name).toEqual('long')
  expect(table.find('shop.example', '/a/c')?.name).toEqual('short')
  expect(table.find('shop.example', '/ab')).toEqual(undefined)
  expect(table.find('else.example', '/anything')?.name).toEqual('other')
  expect(table.find('unknown.example', '/a/')).toEqual(undefined)
})

// Guards against a delayed response of the store that reverts the configuration.
test('a version that is not newer is ignored', () => {
  const table = new RoutingTable()
  expect(table.apply(createRoutingConfig({ version: 7, routes }))).toEqual(true)
  expect(table.apply(createRoutingConfig({ version: 6, routes: [] }))).toEqual(false)
  expect(table.apply(createRoutingConfig({ version: 7, routes: [] }))).toEqual(false)
  expect(table.find('shop.example', '/a/')?.name).toEqual('short')
})
