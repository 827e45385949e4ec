import { test } from 'node:test'
import { expect } from 'earl'
import { peerLimits } from '../../src/peers/peerLimits.js'
import { PeerTable } from '../../src/peers/PeerTable.js'
import { createHeartbeat } from '../support/createHeartbeat.js'

// Guards against directing callers to a host that was killed.
test('a host without recent heartbeats is not alive', () => {
  const peers = new PeerTable('me')
  peers.receive(createHeartbeat('a', 1), 0)
  expect(peers.listAlive(100).length).toEqual(1)
  expect(peers.listAlive(peerLimits.deadAfterMs).length).toEqual(0)
})

// Guards against a delayed heartbeat from before a restart that overwrites the state of the current process.
test('heartbeats of an earlier incarnation are ignored', () => {
  const peers = new PeerTable('me')
  peers.receive(createHeartbeat('a', 2), 0)
  expect(peers.receive(createHeartbeat('a', 1, { isLeaving: true }), 1)).toEqual(undefined)
  expect(peers.get('a')!.isLeaving).toEqual(false)
})

// Guards against a host that counts its own requests twice.
test('a host is not its own peer', () => {
  const peers = new PeerTable('me')
  expect(peers.receive(createHeartbeat('me', 1), 0)).toEqual(undefined)
  expect([...peers].length).toEqual(0)
})

// Guards against counting the requests of hosts that are down.
test('loads are summed over live hosts', () => {
  const peers = new PeerTable('me')
  peers.receive(createHeartbeat('a', 1, { loads: [['e', 3]] }), 0)
  peers.receive(createHeartbeat('b', 1, { loads: [['e', 4]] }), 1_500)
  expect(peers.sumLoads(1_600).get('e')).toEqual(7)
  expect(peers.sumLoads(2_500).get('e')).toEqual(4)
})

// Guards against reports of a host that is down, which would keep endpoints ejected.
test('broken attempts are summed over live hosts', () => {
  const peers = new PeerTable('me')
  peers.receive(createHeartbeat('a', 1, { breaks: [['e1', 2], ['e2', 1]] }), 0)
  peers.receive(createHeartbeat('b', 1, { breaks: [['e1', 1]] }), 100)
  expect([...peers.sumBreaks(200)]).toEqual([['e1', { hosts: 2, breaks: 3 }], ['e2', { hosts: 1, breaks: 1 }]])
  expect([...peers.sumBreaks(peerLimits.deadAfterMs)]).toEqual([['e1', { hosts: 1, breaks: 1 }]])
})

// Guards against a host that counts as down, so that others read the store in its place, because one of its rare heartbeats was lost (issue 41).
test('a host whose heartbeats are rare is alive after one of them is lost', () => {
  const peers = new PeerTable('a')
  peers.receive(createHeartbeat('b', 1), 0)
  const row = peers.get('b')!
  row.heartbeatIntervalMs = peerLimits.crossRegionHeartbeatMs * peerLimits.maxSlowdown
  const nextHeartbeatMs = 2 * row.heartbeatIntervalMs
  expect([peers.listAlive(nextHeartbeatMs).length, peers.listAlive(nextHeartbeatMs + peerLimits.heartbeatTimeoutMs).length]).toEqual([1, 0])
})
