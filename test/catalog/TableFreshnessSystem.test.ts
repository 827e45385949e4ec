import { test } from 'node:test'
import { expect } from 'earl'
import { TableFreshnessSystem } from '../../src/catalog/TableFreshnessSystem.js'
import { FixedFreshness } from '../support/FixedFreshness.js'
import { MemoryLogger } from '../support/MemoryLogger.js'

// Guards against an outdated table that leaves no trace in the logs, and against a line for each start.
test('a table that becomes stale is logged once, and again when it is confirmed', () => {
  const logger = new MemoryLogger()
  let ageMs = Infinity
  const system = new TableFreshnessSystem({ freshness: new FixedFreshness((table) => table === 'orders' ? ageMs : 0), logger })
  for (const next of [Infinity, 0, 2_000, 3_500, Infinity, 100, 50]) {
    ageMs = next
    system.run(0)
  }
  const events = logger.lines.map((line) => /table-\w+/.exec(line)?.[0])
  expect(events).toEqual(['table-stale', 'table-confirmed'])
})
