import { test } from 'node:test'
import { expect } from 'earl'
import { catalogLimits } from '../../src/catalog/catalogLimits.js'
import { chooseReaders } from '../../src/peers/chooseReaders.js'
import { HostGroup } from '../support/HostGroup.js'
import { LimitedLinks } from '../support/LimitedLinks.js'

/** So many that heartbeats are rarer than between a few hosts. */
const hostCount = 30
const regions = ['north', 'south'] as const
const rounds = 4
const settleMs = 4_000

/** Names of the hosts that read the store. */
function listReaders (): Set<string> {
  const hosts = Array.from({ length: hostCount }, (_value, index) => {
    const region = regions[index % regions.length]!
    return { name: `host-${index}`, zone: `${region}-a`, region, linkMbps: 0 }
  })
  return chooseReaders(hosts, catalogLimits.readersPerRegion)
}

// Guards against requests to a leaving endpoint from hosts that wait too long for readers of the store that are gone (issue 41).
test('a leaving is heard in time when all hosts that read the store lose power just before it', async () => {
  const readers = listReaders()
  const links = new LimitedLinks(Infinity, (host) => readers.has(host))
  const group = await HostGroup.start(hostCount, 3, regions, links)
  try {
    // Each host that starts reads the store until it knows its readers, and its first polls end by then.
    await group.waitUntil(() => group.logger.lines.filter((line) => line.includes('peer-up')).length >= hostCount * (hostCount - 1))
    await new Promise((resolve) => setTimeout(resolve, settleMs))
    const survivors = group.settings.flatMap(({ name }, index) => readers.has(name) ? [] : [index])
    for (const index of group.settings.keys()) if (!survivors.includes(index)) group.hostStores[index]!.isCut = true
    for (const name of readers) await links.silence(name)
    const leaving = group.endpoints[0]!
    group.store.tables.put('servers', leaving.id, leaving.describe('stock', 'north-a', { state: 'draining' }))
    await new Promise((resolve) => setTimeout(resolve, group.settings[0]!.bounds.drainMs))
    const before = leaving.runs.length
    for (let round = 0; round < rounds; round++) {
      await Promise.all(survivors.map(async (index) => await group.send({ object: `${round}-${index}` }, index)))
    }
    expect(survivors.length).toEqual(hostCount - regions.length * catalogLimits.readersPerRegion)
    expect(leaving.runs.length - before).toEqual(0)
  } finally {
    await group.stop()
  }
})
