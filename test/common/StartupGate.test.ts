import { test } from 'node:test'
import { expect } from 'earl'
import { ManualClock } from '../../src/common/ManualClock.js'
import { StartupGate } from '../../src/common/StartupGate.js'

// Guards against a process that relies on outdated state, and against one that waits for a source that doesn't respond.
test('the gate opens with a result or at the end of the wait', () => {
  const clock = new ManualClock()
  let hasResult = false
  const gates = [new StartupGate({ clock, hasResult: () => hasResult }), new StartupGate({ clock, hasResult: () => false })]
  const isOpen = (): boolean[] => gates.map((gate) => gate.isOpen)
  clock.advance(999)
  expect(isOpen()).toEqual([false, false])
  hasResult = true
  expect(isOpen()).toEqual([true, false])
  clock.advance(1)
  expect(isOpen()).toEqual([true, true])
})

// Guards against a process that stops serving in a later outage of the source.
test('an open gate stays open', () => {
  let hasResult = true
  const gate = new StartupGate({ clock: new ManualClock(), hasResult: () => hasResult })
  const first = gate.isOpen
  hasResult = false
  expect([first, gate.isOpen]).toEqual([true, true])
})
