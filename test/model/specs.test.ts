import { test } from 'node:test'
import { expect } from 'earl'
import { createClaimSpec } from './createClaimSpec.js'
import { createConfigSpec } from './createConfigSpec.js'
import { createLoanSpec } from './createLoanSpec.js'
import { searchStates, type Spec } from './searchStates.js'

const maxStates = 1_500_000
const lowered = { before: [2, 2, 2], after: [1, 1, 1] }
const addedHost = { before: [5, 5, 0], after: [4, 3, 3] }

function checkHolds<State> (spec: Spec<State>): void {
  const result = searchStates(spec, maxStates)
  expect([result.violated, result.complete]).toEqual([undefined, true])
}

// Guards against a protocol that violates an invariant in some sequence of steps and faults.
test('loans respect the cap', () => checkHolds(createLoanSpec()))
test('requests with one key run at most once', () => checkHolds(createClaimSpec()))
test('a lowered cap holds', () => checkHolds(createConfigSpec(lowered)))
test('a cap holds when a host is added', () => checkHolds(createConfigSpec(addedHost)))

// Guards against specifications or a search that cannot detect bugs: each injected bug must violate its invariant.
for (const bug of ['earlyResume', 'noQuarantine', 'validFromReceipt', 'returnInUse', 'anyReturn'] as const) {
  test(`cap: ${bug} is found`, () => {
    expect(searchStates(createLoanSpec(bug), maxStates).violated).toEqual('cap')
  })
}

for (const bug of ['grantAfterRestart', 'shortMemoryWait', 'noValidity', 'releaseDead', 'anyNotRun'] as const) {
  test(`at_most_once: ${bug} is found`, () => {
    // This bug needs a third claim but no elapsed time.
    const spec = bug === 'anyNotRun' ? createClaimSpec(bug, 3, 0) : createClaimSpec(bug)
    const { at_most_once: once } = spec.invariants
    expect(searchStates({ ...spec, invariants: { at_most_once: once! } }, maxStates).violated).toEqual('at_most_once')
  })
}

test('not_run_true: notRunWithoutAnswer is found', () => {
  expect(searchStates(createClaimSpec('notRunWithoutAnswer'), maxStates).violated).toEqual('not_run_true')
})

test('config: applyOld is found', () => {
  expect(searchStates(createConfigSpec(lowered, 'applyOld'), maxStates).violated).toEqual('config')
})

test('cap: ignoreUnconfirmed is found', () => {
  expect(searchStates(createConfigSpec(lowered, 'ignoreUnconfirmed'), maxStates).violated).toEqual('cap')
})

// An earlier rule of section 7.1 reserved only the old portion of unconfirmed hosts, not the larger of the old and the new one.
test('cap: oldPortionOnly is found', () => {
  expect(searchStates(createConfigSpec(addedHost, 'oldPortionOnly'), maxStates).violated).toEqual('cap')
})
