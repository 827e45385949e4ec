import { test } from 'node:test'
import { expect } from 'earl'
import { HostGroup } from '../support/HostGroup.js'
import { createRouteDoc } from '../support/createRouteDoc.js'
import { LimitedLinks } from '../support/LimitedLinks.js'

/** Bytes that a host sends its peers in a second. With nine peers, each gets as much as one of 33 over a link of 10 Mbit/s. */
const linkBytesPerSecond = 340_000
const hosts = 10
const regions = ['north', 'south'] as const
const addedRoutes = 1_400
/** Time in ms after the acknowledgement of a leaving from which requests may not reach the endpoint, as in the hosts' settings. */
const drainMs = 2_500

/** Returns routes that no request uses. */
function createRoutes (): Record<string, object> {
  return Object.fromEntries(Array.from({ length: addedRoutes }, (_value, index) => [`r-added-${index}`, createRouteDoc(`/added-${index.toString(36)}/`, { service: 'other' })]))
}

/** Counts the requests that were sent, later than allowed, to an endpoint that is leaving. */
async function countLate (group: HostGroup, endpoint: number): Promise<number> {
  const before = group.endpoints[endpoint]!.runs.length
  for (let round = 0; round < 4; round++) {
    await Promise.all(group.hosts.map(async (_host, index) => await group.send({ object: `${round}-${index}` }, index)))
  }
  return group.endpoints[endpoint]!.runs.length - before
}

/** Runs ten hosts over limited links while the configuration grows and changes and three endpoints leave; returns the requests that reached these too late. */
async function playLeavings (group: HostGroup): Promise<number[]> {
  group.putConfig(createRoutes())
  const late: number[] = []
  for (const [index, endpoint] of group.endpoints.slice(0, 3).entries()) {
    await new Promise((resolve) => setTimeout(resolve, 500))
    group.store.tables.put('servers', endpoint.id, endpoint.describe('stock', 'north-a', { state: 'draining' }))
    group.putConfig({ ...createRoutes(), 'r-other': createRouteDoc(`/other-${index}/`, { service: 'other' }) })
    await new Promise((resolve) => setTimeout(resolve, drainMs))
    late.push(await countLate(group, index))
  }
  return late
}

// Guards against links between hosts that are full of copies of tables, so that no host hears another one (issue 41).
test('hosts hear each other after the configuration has grown by many routes', async () => {
  const group = await HostGroup.start(hosts, 5, regions, new LimitedLinks(linkBytesPerSecond))
  try {
    await playLeavings(group)
    expect(group.logger.lines.filter((line) => line.includes('peer-down'))).toEqual([])
  } finally {
    await group.stop()
  }
})

// Guards against requests to an endpoint whose leaving got stuck on full links between hosts (issue 41).
test('a leaving reaches hosts that the store turns away after the configuration has grown by many routes', async () => {
  const group = await HostGroup.start(hosts, 5, regions, new LimitedLinks(linkBytesPerSecond))
  try {
    for (const store of group.hostStores.slice(regions.length)) store.isCut = true
    expect(await playLeavings(group)).toEqual([0, 0, 0])
  } finally {
    await group.stop()
  }
})
