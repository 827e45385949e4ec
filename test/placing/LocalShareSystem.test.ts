import { test } from 'node:test'
import { expect } from 'earl'
import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import { PeerTable } from '../../src/peers/PeerTable.js'
import { ServiceRequestRate } from '../../src/placing/ServiceRequestRate.js'
import { LocalShares } from '../../src/placing/LocalShares.js'
import { LocalShareSystem } from '../../src/placing/LocalShareSystem.js'
import { createHeartbeat } from '../support/createHeartbeat.js'
import { createEndpoint } from '../support/createEndpoint.js'

function computeInitialShare (isFirstStart: boolean, peerShare?: number): number {
  const endpoints = new EndpointTable((zone) => zone.split('-')[0]!, () => 2_500)
  endpoints.update([createEndpoint('n1'), createEndpoint('s1', { zone: 'south-a' })], { nowMs: 0, mayHaveLapsed: false })
  const peers = new PeerTable('me')
  if (peerShare !== undefined) {
    peers.receive(createHeartbeat('other', 1, { localShares: [['stock', peerShare]] }), 0)
  }
  const shares = new LocalShares()
  new LocalShareSystem({ region: 'north', isFirstStart, endpoints, peers, requestRate: new ServiceRequestRate(0), shares, evacuated: new Set() }).run(0)
  return shares.get('stock')
}

// Guards against a first start at which each object goes to a different endpoint in each region, all of them new to the object.
test('at the first start all regions prefer the same endpoint for an object', () => {
  expect(computeInitialShare(true)).toEqual(0)
})

// Guards against a restart of all hosts that moves objects away from the endpoints that handled them recently.
test('after a restart of all hosts most objects stay in their region', () => {
  expect(computeInitialShare(false) > 0.9).toEqual(true)
})

// Guards against a restarted host that sends objects to other endpoints than the other hosts in its region do.
test('a restarted host adopts the share of the other hosts in its region', () => {
  expect(computeInitialShare(false, 0.4)).toEqual(0.4)
  expect(computeInitialShare(true, 0.4)).toEqual(0.4)
})
