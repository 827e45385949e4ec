import { test } from 'node:test'
import { expect } from 'earl'
import { ManualClock } from '../../src/common/ManualClock.js'
import { GraceTime } from '../../src/host/GraceTime.js'

// Guards against requests that are passed on so late in a planned stop that they are cut, and against refusing those that can end.
test('a late request is passed on only if its deadline is within the grace time', () => {
  const clock = new ManualClock()
  const grace = new GraceTime(clock)
  const decisions = [grace.mayPassOn(60_000), grace.hasEnded]
  grace.begin(6_000)
  decisions.push(grace.mayPassOn(60_000))
  clock.advance(3_000)
  decisions.push(grace.mayPassOn(3_001), grace.mayPassOn(3_000), grace.hasEnded)
  clock.advance(3_000)
  decisions.push(grace.mayPassOn(1), grace.hasEnded)
  expect(decisions).toEqual([true, false, true, false, true, false, false, true])
})
