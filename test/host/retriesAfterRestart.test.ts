import { test } from 'node:test'
import { expect } from 'earl'
import { HostGroup } from '../support/HostGroup.js'

const endpointCount = 60
const starts = 3
const requestsPerStart = 10
/** Largest number of repeats in a window: ratio of the requests and slack, as `createHostSettings` sets them. */
const allowedRepeats = 0.2 * starts * requestsPerStart + 64

// Guards against repeats beyond the budget of a service because each new process has the whole slack of its host again.
test('a restarted host doesn\'t use the retry slack of its predecessor again', async () => {
  const group = await HostGroup.start(1, endpointCount)
  let arrivals = 0
  for (const endpoint of group.endpoints) {
    endpoint.behaviour = 'shed'
    endpoint.onArrival = () => { arrivals += 1 }
  }
  for (let start = 0; start < starts; start++) {
    if (start > 0) {
      await group.hosts.at(-1)!.stop()
      const host = await group.addHost('host-0')
      await group.waitUntil(() => host.isReady)
    }
    for (let index = 0; index < requestsPerStart; index++) await group.send({ object: `${start}-${index}` }, start)
  }
  await group.stop()
  expect(arrivals - starts * requestsPerStart <= allowedRepeats).toEqual(true)
})
