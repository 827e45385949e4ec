import { test } from 'node:test'
import { expect } from 'earl'
import type { BehindTable } from '../../src/peers/BehindTable.js'
import { BehindTableLogSystem } from '../../src/peers/BehindTableLogSystem.js'
import { MemoryLogger } from '../support/MemoryLogger.js'

// Guards against a fetch that takes seconds without a trace in the logs (issue 44), and against a line for each tick.
test('a table that stays behind is logged once a second, with its fetches', () => {
  const logger = new MemoryLogger()
  let behindMs: number | undefined = 100
  const system = new BehindTableLogSystem({ listBehind: () => behindMs === undefined ? [] : [createBehind(behindMs)], logger })
  for (let nowMs = 0; nowMs <= 1_600; nowMs += 100) {
    behindMs = 100 + nowMs
    system.run(nowMs)
  }
  behindMs = undefined
  system.run(1_700)
  expect(logger.lines.length).toEqual(3)
  expect(logger.lines.map((line) => line.includes('table-behind') && line.includes('table=orders behindMs=500 newest=9 held=7 sources=3 fetching="b:40,c:7" busy=2'))).toEqual([true, false, false])
  expect(logger.lines[2]!.includes('table-caught-up')).toEqual(true)
})

function createBehind (behindMs: number): BehindTable {
  return { table: 'orders', behindMs, newest: 9, held: 7, sources: 3, fetches: [{ source: 'b', elapsedMs: 40 }, { source: 'c', elapsedMs: 7 }], failures: new Map([['busy', 2]]) }
}
