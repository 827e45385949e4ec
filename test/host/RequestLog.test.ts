import { test } from 'node:test'
import { expect } from 'earl'
import { ManualClock } from '../../src/common/ManualClock.js'
import { hostLimits } from '../../src/host/hostLimits.js'
import { RequestLog } from '../../src/host/RequestLog.js'
import { MemoryLogger } from '../support/MemoryLogger.js'

// Guards against a log that grows with an overload, and against lines that are suppressed without being counted.
test('lines are rate-limited and suppressed lines are counted', () => {
  const clock = new ManualClock()
  const logger = new MemoryLogger()
  let suppressed = 0
  const log = new RequestLog(clock, logger, () => { suppressed += 1 })
  clock.advance(5_000)
  for (let index = 0; index < hostLimits.requestLogLinesPerSecond + 7; index++) log.write('refused', { id: String(index) })
  expect(logger.lines.length).toEqual(hostLimits.requestLogLinesPerSecond)
  expect(suppressed).toEqual(7)
  clock.advance(1_000)
  log.write('refused', { id: 'next' })
  expect(logger.lines.at(-1)!.includes('suppressed=7')).toEqual(true)
})
