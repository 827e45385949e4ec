import { test } from 'node:test'
import { expect } from 'earl'
import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import { PeerTable } from '../../src/peers/PeerTable.js'
import { DemandMeter } from '../../src/placing/DemandMeter.js'
import { LocalShares } from '../../src/placing/LocalShares.js'
import { ShareSystem } from '../../src/placing/ShareSystem.js'
import { createBeat } from '../support/createBeat.js'
import { createEndpoint } from '../support/createEndpoint.js'

function computeInitialShare (isFirstStart: boolean, neighbourShare?: number): number {
  const endpoints = new EndpointTable((zone) => zone.split('-')[0]!)
  endpoints.update([createEndpoint('n1'), createEndpoint('s1', { zone: 'south-a' })], { nowMs: 0, mayHaveLapsed: false })
  const peers = new PeerTable('me')
  if (neighbourShare !== undefined) {
    peers.receive(createBeat('other', 1, { localShares: [['stock', neighbourShare]] }), 0)
  }
  const shares = new LocalShares()
  new ShareSystem({ region: 'north', isFirstStart, endpoints, peers, demand: new DemandMeter(0), shares, evacuated: new Set() }).run(0)
  return shares.get('stock')
}

// Guards against a system whose first seconds are spent on endpoints that are all new to their objects.
test('at the first start every object has one home', () => {
  expect(computeInitialShare(true)).toEqual(0)
})

// Guards against a restart of all hosts that takes objects away from the endpoints that know them.
test('after a restart of all hosts objects stay in their region', () => {
  expect(computeInitialShare(false) > 0.9).toEqual(true)
})

// Guards against a restarted host that places objects elsewhere than its neighbours.
test('a restarted host takes over the share of its neighbours', () => {
  expect(computeInitialShare(false, 0.4)).toEqual(0.4)
  expect(computeInitialShare(true, 0.4)).toEqual(0.4)
})
