import { test } from 'node:test'
import { expect } from 'earl'
import { listCallerAddresses } from '../../src/host/listCallerAddresses.js'
import type { HostRecord } from '../../src/peers/HostRecord.js'

function createHost (name: string, region: string): HostRecord {
  return { name, zone: `${region}-a`, region, callerAddress: name, peerAddress: name, linkMbps: 0, incarnation: 1 }
}

// Guards against directing callers to another region, and against an empty list when their own region has no host left.
test('callers get the hosts of their region, or all hosts when it has none', () => {
  const hosts = [createHost('n1', 'north'), createHost('n2', 'north'), createHost('s1', 'south')]
  expect(listCallerAddresses(hosts, 'north')).toEqual(['n1', 'n2'])
  expect(listCallerAddresses(hosts, 'west')).toEqual(['n1', 'n2', 's1'])
})

// Guards against uploads that saturate the narrow link of one host while other hosts have spare bandwidth.
test('hosts with narrow links are left out while enough others serve', () => {
  const hosts = [200, 200, 200, 13, 13].map((linkMbps, index) => ({ ...createHost(`n${index}`, 'north'), linkMbps }))
  expect(listCallerAddresses(hosts, 'north')).toEqual(['n0', 'n1', 'n2'])
  expect(listCallerAddresses(hosts.slice(1), 'north')).toEqual(['n1', 'n2', 'n3', 'n4'])
})
