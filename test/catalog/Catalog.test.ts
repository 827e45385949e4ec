import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { Catalog } from '../../src/catalog/Catalog.js'
import type { CatalogRow } from '../../src/catalog/CatalogRow.js'
import type { CatalogEntry } from '../../src/catalog/CatalogEntry.js'

const createEvacuation = (name: string): CatalogEntry => ({ kind: 'evacuation', zone: name })

function listZones (catalog: Catalog): string[] {
  return catalog.entries('orders').map((entry) => entry.kind === 'evacuation' ? entry.zone : '')
}

// Guards against a slow peer or a late answer of the store that takes a table back.
test('a table never goes back', () => {
  const catalog = new Catalog(() => {})
  catalog.apply('orders', { version: 5, rows: [{ key: 'a', version: 5, entry: createEvacuation('new') }] }, 0, 'store')
  expect(catalog.apply('orders', { version: 4, rows: [{ key: 'a', version: 4, entry: createEvacuation('old') }] }, 1, 'peer')).toEqual(false)
  // A row of an earlier version comes with changes that overlap the copy.
  const overlap = [{ key: 'a', version: 4, entry: createEvacuation('old') }, { key: 'b', version: 6, entry: createEvacuation('b') }]
  expect(catalog.apply('orders', { after: 3, version: 6, rows: overlap }, 1, 'peer')).toEqual(true)
  expect(listZones(catalog)).toEqual(['new', 'b'])
})

// Guards against rows that stay after they were removed from the store.
test('changes put and remove rows', () => {
  const catalog = new Catalog(() => {})
  catalog.apply('orders', { version: 1, rows: [{ key: 'a', version: 1, entry: createEvacuation('a') }] }, 0, 'store')
  expect(catalog.apply('orders', { after: 1, version: 3, rows: [{ key: 'a', version: 3, entry: undefined }, { key: 'b', version: 3, entry: createEvacuation('b') }] }, 0, 'store')).toEqual(true)
  expect(listZones(catalog)).toEqual(['b'])
})

// Guards against whole tables that are sent because the store's counter moved on without a change of the table.
test('an empty answer moves the place in the history and not the version', () => {
  const catalog = new Catalog(() => {})
  catalog.apply('orders', { version: 1, rows: [] }, 0, 'store')
  catalog.apply('orders', { after: 1, version: 9, rows: [] }, 0, 'store')
  expect(catalog.versionOf('orders')).toEqual(1)
  expect(catalog.resumeAfter('orders')).toEqual(9)
})

// Guards against copies that differ from the store after any mixture of feeds, reads and pages of peers.
test('copies agree with the store once they have its newest version', () => {
  const change = fc.record({ key: fc.constantFrom('a', 'b', 'c'), isPut: fc.boolean(), via: fc.constantFrom('feed', 'peer', 'none') })
  fc.assert(fc.property(fc.array(change, { minLength: 1, maxLength: 30 }), (changes) => {
    const expected = new Map<string, CatalogEntry>()
    const history: CatalogRow[] = []
    const one = new Catalog(() => {})
    const two = new Catalog(() => {})
    for (const catalog of [one, two]) catalog.apply('orders', { version: 0, rows: [] }, 0, 'store')
    const feed = (catalog: Catalog): void => {
      const after = catalog.resumeAfter('orders')
      catalog.apply('orders', { after, version: history.length, rows: history.slice(after) }, 0, 'store')
    }
    for (const { key, isPut, via } of changes) {
      const entry = isPut ? createEvacuation(`${key}${history.length}`) : undefined
      if (entry === undefined) expected.delete(key)
      else expected.set(key, entry)
      history.push({ key, version: history.length + 1, entry })
      if (via === 'feed') feed(one)
      if (via === 'peer') two.apply('orders', one.exportSince('orders', two.versionOf('orders')), 0, 'one')
    }
    feed(two)
    one.apply('orders', two.exportSince('orders', one.versionOf('orders')), 0, 'two')
    const wanted = [...expected.values()].map((entry) => JSON.stringify(entry)).sort()
    return [one, two].every((catalog) => JSON.stringify(catalog.entries('orders').map((entry) => JSON.stringify(entry)).sort()) === JSON.stringify(wanted))
  }))
})

// Guards against changes behind a gap, which would hide what happened in it.
test('changes that begin after the copy are not applied', () => {
  const catalog = new Catalog(() => {})
  catalog.apply('orders', { version: 1, rows: [] }, 0, 'store')
  expect(catalog.apply('orders', { after: 3, version: 4, rows: [{ key: 'a', version: 4, entry: createEvacuation('a') }] }, 0, 'peer')).toEqual(false)
  expect(catalog.versionOf('orders')).toEqual(1)
})

// Guards against a table that is sent whole for each change.
test('a host that lacks the last change gets only that', () => {
  const catalog = new Catalog(() => {})
  catalog.apply('orders', { version: 1, rows: [{ key: 'a', version: 1, entry: createEvacuation('a') }] }, 0, 'store')
  catalog.apply('orders', { after: 1, version: 2, rows: [{ key: 'b', version: 2, entry: createEvacuation('b') }] }, 0, 'store')
  expect(catalog.exportSince('orders', 1)).toEqual({ version: 2, after: 1, rows: [{ key: 'b', version: 2, entry: createEvacuation('b') }] })
  expect(catalog.exportSince('orders', 0).rows.length).toEqual(2)
  expect(catalog.exportSince('orders', 0).after).toEqual(undefined)
})
