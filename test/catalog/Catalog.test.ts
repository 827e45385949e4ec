import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { Catalog } from '../../src/catalog/Catalog.js'
import { catalogLimits } from '../../src/catalog/catalogLimits.js'
import { noPosition } from '../../src/catalog/noPosition.js'
import { createRoutingConfig } from '../support/createRoutingConfig.js'
import type { CatalogRow } from '../../src/catalog/CatalogRow.js'
import type { CatalogEntry } from '../../src/catalog/CatalogEntry.js'

const createEvacuation = (name: string): CatalogEntry => ({ kind: 'evacuation', zone: name })

function listZones (catalog: Catalog): string[] {
  return catalog.entries('orders').map((entry) => entry.kind === 'evacuation' ? entry.zone : '')
}

// Guards against a slow peer or a late store response that reverts a table to an older version.
test('a table never reverts to an older version', () => {
  const catalog = new Catalog(() => {})
  catalog.apply('orders', { era: 0, version: 5, rows: [{ key: 'a', version: 5, entry: createEvacuation('new') }] }, 0, 'store')
  expect(catalog.apply('orders', { era: 0, version: 4, rows: [{ key: 'a', version: 4, entry: createEvacuation('old') }] }, 1, 'peer')).toEqual(false)
  // The page overlaps the copy and contains a row of an earlier version.
  const overlap = [{ key: 'a', version: 4, entry: createEvacuation('old') }, { key: 'b', version: 6, entry: createEvacuation('b') }]
  expect(catalog.apply('orders', { era: 0, after: 3, version: 6, rows: overlap }, 1, 'peer')).toEqual(true)
  expect(listZones(catalog)).toEqual(['new', 'b'])
})

// Guards against rows that remain after they were removed from the store.
test('changes put and remove rows', () => {
  const catalog = new Catalog(() => {})
  catalog.apply('orders', { era: 0, version: 1, rows: [{ key: 'a', version: 1, entry: createEvacuation('a') }] }, 0, 'store')
  expect(catalog.apply('orders', {
    era: 0,
    after: 1,
    version: 3,
    rows: [{ key: 'a', version: 3, entry: undefined }, { key: 'b', version: 3, entry: createEvacuation('b') }]
  }, 0, 'store')).toEqual(true)
  expect(listZones(catalog)).toEqual(['b'])
})

// Guards against sending whole tables because the store's version increased without a change of the table.
test('an empty page advances the synced version and not the version of the rows', () => {
  const catalog = new Catalog(() => {})
  catalog.apply('orders', { era: 0, version: 1, rows: [] }, 0, 'store')
  catalog.apply('orders', { era: 0, after: 1, version: 9, rows: [] }, 0, 'store')
  expect(catalog.versionOf('orders')).toEqual(1)
  expect(catalog.resumeAfter('orders')).toEqual({ era: 0, version: 9 })
})

/** Lists the rows that a full read returns after some changes. */
function listLatest (history: readonly CatalogRow[]): CatalogRow[] {
  return [...new Map(history.map((row) => [row.key, row])).values()].filter((row) => row.entry !== undefined)
}

// Guards against copies that diverge from the store after any mixture of feeds, reads and pages from peers.
test('copies equal the store once they have its latest version', () => {
  const change = fc.record({ key: fc.constantFrom('a', 'b', 'c'), isPut: fc.boolean(), via: fc.constantFrom('feed', 'read', 'peer', 'none') })
  fc.assert(fc.property(fc.array(change, { minLength: 1, maxLength: 30 }), (changes) => {
    const storeEntries = new Map<string, CatalogEntry>()
    const history: CatalogRow[] = []
    const one = new Catalog(() => {})
    const two = new Catalog(() => {})
    for (const catalog of [one, two]) catalog.apply('orders', { era: 0, version: 0, rows: [] }, 0, 'store')
    const feed = (catalog: Catalog): void => {
      const after = catalog.resumeAfter('orders').version
      catalog.apply('orders', { era: 0, after, version: history.length, rows: history.slice(after) }, 0, 'store')
    }
    for (const { key, isPut, via } of changes) {
      const entry = isPut ? createEvacuation(`${key}${history.length}`) : undefined
      if (entry === undefined) storeEntries.delete(key)
      else storeEntries.set(key, entry)
      history.push({ key, version: history.length + 1, entry })
      if (via === 'feed') feed(one)
      if (via === 'read') one.apply('orders', { era: 0, version: history.length, rows: listLatest(history) }, 0, 'store')
      if (via === 'peer') two.apply('orders', one.exportSince('orders', two.positionOf('orders'), 0), 0, 'one')
    }
    feed(two)
    one.apply('orders', two.exportSince('orders', one.positionOf('orders'), 0), 0, 'two')
    const expected = [...storeEntries.values()].map((entry) => JSON.stringify(entry)).sort()
    return [one, two].every((catalog) =>
      JSON.stringify(catalog.entries('orders').map((entry) => JSON.stringify(entry)).sort()) === JSON.stringify(expected))
  }))
})

// Guards against applying changes after a gap, which would lose the changes within the gap.
test('changes that leave a gap after the copy are not applied', () => {
  const catalog = new Catalog(() => {})
  catalog.apply('orders', { era: 0, version: 1, rows: [] }, 0, 'store')
  expect(catalog.apply('orders', { era: 0, after: 3, version: 4, rows: [{ key: 'a', version: 4, entry: createEvacuation('a') }] }, 0, 'peer')).toEqual(false)
  expect(catalog.versionOf('orders')).toEqual(1)
})

// Guards against sending the whole table for each change.
test('a host that lacks only the last change is sent only that change', () => {
  const catalog = new Catalog(() => {})
  catalog.apply('orders', { era: 0, version: 1, rows: [{ key: 'a', version: 1, entry: createEvacuation('a') }] }, 0, 'store')
  catalog.apply('orders', { era: 0, after: 1, version: 2, rows: [{ key: 'b', version: 2, entry: createEvacuation('b') }] }, 0, 'store')
  expect(catalog.exportSince('orders', { era: 0, version: 1 }, 0)).toEqual({ era: 0, version: 2, after: 1, rows: [{ key: 'b', version: 2, entry: createEvacuation('b') }] })
  expect(catalog.exportSince('orders', { era: 0, version: 0 }, 0).rows.length).toEqual(2)
  expect(catalog.exportSince('orders', { era: 0, version: 0 }, 0).after).toEqual(undefined)
})

// Guards against a late host that is sent each configuration that it missed, on links that are full already (issue 44).
test('a host that lacks several changes of a row is sent only the last of them', () => {
  const catalog = new Catalog(() => {})
  catalog.apply('orders', { era: 0, version: 1, rows: [{ key: 'a', version: 1, entry: createEvacuation('a1') }] }, 0, 'store')
  for (let version = 2; version <= 6; version++) {
    const rows = [{ key: version % 3 === 0 ? 'b' : 'a', version, entry: createEvacuation(`v${version}`) }]
    catalog.apply('orders', { era: 0, after: version - 1, version, rows }, 0, 'store')
  }
  expect(catalog.exportSince('orders', { era: 0, version: 1 }, 0).rows.map(({ key, version }) => [key, version])).toEqual([['a', 5], ['b', 6]])
})

// Guards against a history that holds hundreds of whole configurations.
test('earlier changes of the same rows are not kept', () => {
  const catalog = new Catalog(() => {})
  catalog.apply('orders', { era: 0, version: 1, rows: [] }, 0, 'store')
  for (let version = 2; version <= 2 * catalogLimits.maxHistory; version++) {
    catalog.apply('orders', { era: 0, after: version - 1, version, rows: [{ key: 'a', version, entry: createEvacuation(`v${version}`) }] }, 0, 'store')
  }
  expect(catalog.exportSince('orders', { era: 0, version: 1 }, 0).after).toEqual(1)
})

// Guards against copies that miss all changes after the store came back from an older copy, whose versions are lower.
test('a table of a later era replaces one with a higher version', () => {
  const catalog = new Catalog(() => {})
  catalog.apply('orders', { era: 1, version: 9, rows: [{ key: 'a', version: 9, entry: createEvacuation('old') }] }, 0, 'store')
  expect(catalog.apply('orders', { era: 2, version: 4, rows: [{ key: 'b', version: 4, entry: createEvacuation('new') }] }, 1, 'store')).toEqual(true)
  catalog.releaseRetained(Infinity)
  expect([catalog.positionOf('orders'), listZones(catalog)]).toEqual([{ era: 2, version: 4 }, ['new']])
})

// Guards against orders in force that end because the store has lost them, and against orders that never end.
test('rows that a restored store has lost hold until they are written again or the grace time ends', () => {
  const graceMs = catalogLimits.restoreGraceMs.orders
  const rows = ['a', 'b'].map((key) => ({ key, version: 9, entry: createEvacuation(key) }))
  const catalog = new Catalog(() => {})
  catalog.apply('orders', { era: 1, version: 9, rows }, 0, 'store')
  catalog.apply('orders', { era: 2, version: 4, rows: [] }, 1_000, 'store')
  expect(listZones(catalog)).toEqual(['a', 'b'])
  // Order a is written again and taken back.
  catalog.apply('orders', { era: 2, after: 4, version: 5, rows: [{ key: 'a', version: 5, entry: createEvacuation('a') }] }, 1_100, 'store')
  catalog.apply('orders', { era: 2, after: 5, version: 6, rows: [{ key: 'a', version: 6, entry: undefined }] }, 1_200, 'store')
  catalog.releaseRetained(1_000 + graceMs - 1)
  expect(listZones(catalog)).toEqual(['b'])
  catalog.releaseRetained(1_000 + graceMs)
  expect(listZones(catalog)).toEqual([])
})

// Guards against an order that was taken back and is in force again because the store has lost its removal.
test('a row that was removed before a restore stays removed until it is written again', () => {
  const catalog = new Catalog(() => {})
  const row = { key: 'a', version: 3, entry: createEvacuation('a') }
  catalog.apply('orders', { era: 1, version: 3, rows: [row] }, 0, 'store')
  catalog.apply('orders', { era: 1, after: 3, version: 4, rows: [{ key: 'a', version: 4, entry: undefined }] }, 0, 'store')
  catalog.apply('orders', { era: 2, version: 3, rows: [row] }, 0, 'store')
  expect(listZones(catalog)).toEqual([])
  catalog.apply('orders', { era: 2, after: 3, version: 4, rows: [{ ...row, version: 4 }] }, 0, 'store')
  expect(listZones(catalog)).toEqual(['a'])
})

// Guards against the same where a host learned of the removal from a whole table.
test('a row that a full read no longer has stays removed after a restore', () => {
  const catalog = new Catalog(() => {})
  const row = { key: 'a', version: 3, entry: createEvacuation('a') }
  catalog.apply('orders', { era: 1, version: 3, rows: [row] }, 0, 'store')
  for (const version of [5, 6]) catalog.apply('orders', { era: 1, version, rows: [] }, 0, 'peer')
  catalog.apply('orders', { era: 2, version: 3, rows: [row] }, 0, 'store')
  expect(listZones(catalog)).toEqual([])
})

// Guards against rows that hosts which start one after the other keep alive for each other without end.
test('a peer forwards lost rows with the rest of their grace time', () => {
  const [one, two] = [new Catalog(() => {}), new Catalog(() => {})]
  one.apply('orders', { era: 1, version: 9, rows: [{ key: 'a', version: 9, entry: createEvacuation('a') }] }, 0, 'store')
  one.apply('orders', { era: 2, version: 4, rows: [] }, 0, 'store')
  two.apply('orders', one.exportSince('orders', noPosition, 2_000), 2_000, 'one')
  expect(listZones(two)).toEqual(['a'])
  two.releaseRetained(catalogLimits.restoreGraceMs.orders)
  expect(listZones(two)).toEqual([])
})

// Guards against a configuration that comes back older when the store is restored twice, or after the grace time.
test('the newest configuration stays through a second restore and after the grace time', () => {
  const catalog = new Catalog(() => {})
  const put = (era: number, version: number, config: number): void => {
    catalog.apply('orders', { era, version, rows: [{ key: 'config', version, entry: { kind: 'routing', config: createRoutingConfig({ version: config }) } }] }, 0, 'store')
  }
  const readConfigs = (): number[] => catalog.entries('orders').flatMap((entry) => entry.kind === 'routing' ? [entry.config.version] : [])
  put(1, 9, 12)
  put(2, 4, 7)
  put(3, 2, 5)
  catalog.releaseRetained(Infinity)
  expect(readConfigs()).toEqual([12])
  put(3, 3, 14)
  expect(readConfigs()).toEqual([14])
})

// Guards against a late response, or a peer that hasn't heard of the restore, that brings back what the store has lost.
test('a page of an earlier era is not applied', () => {
  const catalog = new Catalog(() => {})
  catalog.apply('orders', { era: 2, version: 4, rows: [] }, 0, 'store')
  const rows = [{ key: 'a', version: 9, entry: createEvacuation('lost') }]
  expect([catalog.apply('orders', { era: 1, version: 9, rows }, 1, 'peer'), catalog.apply('orders', { era: 1, after: 3, version: 9, rows }, 1, 'peer')]).toEqual([false, false])
})

// Guards against rows that one version names in two eras: changes are no complete update of a copy of another era.
test('changes of a later era are not merged into a copy of an earlier one', () => {
  const catalog = new Catalog(() => {})
  catalog.apply('orders', { era: 1, version: 4, rows: [{ key: 'a', version: 4, entry: createEvacuation('lost') }] }, 0, 'store')
  expect(catalog.apply('orders', { era: 2, after: 4, version: 6, rows: [{ key: 'b', version: 6, entry: createEvacuation('b') }] }, 1, 'store')).toEqual(false)
  expect(catalog.exportSince('orders', { era: 2, version: 4 }, 0).after).toEqual(undefined)
})

// Guards against a full read, as after lost history of the store, after which each host is sent the whole table by each other one (issue 41).
test('a full read leaves what other hosts lack known as changes', () => {
  const rows = ['a', 'b', 'c'].map((key) => ({ key, version: 3, entry: createEvacuation(key) }))
  const catalog = new Catalog(() => {})
  const peer = new Catalog(() => {})
  for (const each of [catalog, peer]) each.apply('orders', { era: 1, version: 3, rows }, 0, 'store')
  const read = [rows[0]!, { key: 'b', version: 6, entry: createEvacuation('b2') }]
  expect(catalog.apply('orders', { era: 1, version: 9, rows: read }, 1, 'store')).toEqual(true)
  const page = catalog.exportSince('orders', peer.positionOf('orders'), 1)
  expect([page.after, page.rows.map(({ key, version }) => [key, version])]).toEqual([3, [['b', 6], ['c', 9]]])
  expect([peer.apply('orders', page, 1, 'peer'), listZones(peer)]).toEqual([true, ['a', 'b2']])
})

// Guards against hosts that count as behind, and are sent tables, because another host has read an unchanged table in full.
test('a full read that finds nothing changed moves only the synced version', () => {
  let changes = 0
  const catalog = new Catalog(() => { changes += 1 })
  const rows = [{ key: 'a', version: 3, entry: createEvacuation('a') }]
  catalog.apply('orders', { era: 1, version: 3, rows }, 0, 'store')
  expect(catalog.apply('orders', { era: 1, version: 9, rows }, 1, 'store')).toEqual(false)
  expect([catalog.positionOf('orders'), catalog.resumeAfter('orders'), changes]).toEqual([{ era: 1, version: 3 }, { era: 1, version: 9 }, 1])
})
