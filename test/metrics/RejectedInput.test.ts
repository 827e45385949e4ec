import { test } from 'node:test'
import { expect } from 'earl'
import { Registry } from 'prom-client'
import { ManualClock } from '../../src/common/ManualClock.js'
import { RejectedInput } from '../../src/metrics/RejectedInput.js'
import { MemoryLogger } from '../support/MemoryLogger.js'

// Guards against a writer of bad entries that fills the log, and against rejections that nobody can count afterwards.
test('rejections are counted, and logged at a bounded rate', async () => {
  const [registry, clock, logger] = [new Registry(), new ManualClock(), new MemoryLogger()]
  const rejected = new RejectedInput({ registry, clock, logger })
  for (let index = 0; index < 25; index++) rejected.record('store', 'entry-unusable', { key: `e-${index}` })
  rejected.record('peer', 'heartbeat-refused', { type: 'x' })
  expect(logger.lines.length).toEqual(11)
  clock.advance(1_000)
  rejected.record('store', 'entry-unusable', { key: 'last' })
  expect(logger.lines.at(-1)).toEqual('warn entry-unusable key=last suppressed=15')
  expect(await registry.metrics()).toInclude('shunt_input_rejected_total{edge="store",reason="entry-unusable"} 26')
})
