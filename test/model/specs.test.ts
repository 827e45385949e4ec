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

// Guards against a protocol that breaks an invariant in some order of steps and faults.
test('loans keep the cap', () => checkHolds(createLoanSpec()))
test('claims run at most once', () => checkHolds(createClaimSpec()))
test('a lowered cap holds', () => checkHolds(createConfigSpec(lowered)))
test('a cap holds when a host is added', () => checkHolds(createConfigSpec(addedHost)))

// Guards against a specification or a search that can't find faults.
for (const mistake of ['earlyResume', 'noQuarantine', 'validFromReceipt', 'returnInUse', 'anyReturn'] as const) {
  test(`cap: ${mistake} is found`, () => {
    expect(searchStates(createLoanSpec(mistake), maxStates).violated).toEqual('cap')
  })
}

for (const mistake of ['grantAfterRestart', 'shortMemoryWait', 'noValidity', 'forgetDead', 'anyNotRun'] as const) {
  test(`at_most_once: ${mistake} is found`, () => {
    // This one needs a third claim, but no time to pass.
    const spec = mistake === 'anyNotRun' ? createClaimSpec(mistake, 3, 0) : createClaimSpec(mistake)
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

// The rule without the larger portion of unconfirmed hosts, as section 7.1 first had it.
test('cap: oldPortionOnly is found', () => {
  expect(searchStates(createConfigSpec(addedHost, 'oldPortionOnly'), maxStates).violated).toEqual('cap')
})
