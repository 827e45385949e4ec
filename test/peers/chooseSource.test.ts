import { test } from 'node:test'
import { expect } from 'earl'
import { chooseSource } from '../../src/peers/chooseSource.js'
import type { PeerRow } from '../../src/peers/PeerRow.js'
import { PeerTable } from '../../src/peers/PeerTable.js'
import { createHeartbeat } from '../support/createHeartbeat.js'

/** Builds hosts of region `north`, or of that in the name after a dash, with links of these bandwidths. */
function createRows (links: Record<string, number>): PeerRow[] {
  const peers = new PeerTable('self')
  return Object.entries(links).map(([name, linkMbps]) => {
    const host = { ...createHeartbeat(name, 1).host, linkMbps, region: name.split('-')[1] ?? 'north' }
    return peers.receive(createHeartbeat(name, 1, { host }), 0)!
  })
}

/** Counts how often each host is chosen over evenly spread random numbers. */
function countChoices (links: Record<string, number>, avoided: readonly string[] = []): Record<string, number> {
  const counts: Record<string, number> = {}
  const rows = createRows(links)
  for (let step = 0; step < 1_000; step++) {
    const { name } = chooseSource(rows, { region: 'north', avoided: new Set(avoided), random: () => step / 1_000 }).record
    counts[name] = (counts[name] ?? 0) + 1
  }
  return counts
}

// Guards against a narrow link that serves a table to most hosts of a deployment (issue 44).
test('hosts serve a table in proportion to their links', () => {
  expect(countChoices({ wide: 200, other: 200, narrow: 100 })).toEqual({ wide: 400, other: 400, narrow: 200 })
})

test('a link of unknown bandwidth counts as the narrowest', () => {
  expect([countChoices({ a: 0, b: 0 }), countChoices({ a: 0, b: 30, c: 10 })]).toEqual([{ a: 500, b: 500 }, { a: 200, b: 600, c: 200 }])
})

// Guards against a wide link in a distant region that is preferred to the region's own hosts.
test('a host of the region is chosen before wide links of other regions', () => {
  expect(countChoices({ near: 10, 'far-south': 200 })).toEqual({ near: 1_000 })
})

test('avoided hosts are chosen only when there is no other', () => {
  expect([countChoices({ a: 10, b: 10 }, ['a']), countChoices({ a: 10, 'b-south': 10 }, ['a']), countChoices({ a: 10 }, ['a'])]).toEqual([{ b: 1_000 }, { 'b-south': 1_000 }, { a: 1_000 }])
})
