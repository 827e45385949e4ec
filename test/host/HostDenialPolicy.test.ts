import { test } from 'node:test'
import { expect } from 'earl'
import { createFailure } from '../../src/common/createFailure.js'
import { Outcome } from '../../src/common/Outcome.js'
import type { ResultName } from '../../src/common/ResultName.js'
import { HostDenialPolicy } from '../../src/host/HostDenialPolicy.js'

const maxUnconfirmedMs = 2_500

/** Returns the result code of a request on a path without a route. */
function deny (state: { unconfirmedMs?: number, behindMs?: number }, name: ResultName = 'unknownService'): string {
  const policy = new HostDenialPolicy({
    getUnconfirmedMs: () => state.unconfirmedMs ?? 0,
    getBehindMs: () => state.behindMs ?? 0,
    getMaxUnconfirmedMs: () => maxUnconfirmedMs
  })
  return policy.check(createFailure(name)).name
}

test('a request is denied by a confirmed configuration', () => {
  expect(deny({ unconfirmedMs: maxUnconfirmedMs })).toEqual('unknownService')
})

// Guards against a final 4xx for what a newer configuration allows (issue 44).
test('a request is not denied while a newer configuration may allow it', () => {
  const states = [{ unconfirmedMs: maxUnconfirmedMs + 1 }, { unconfirmedMs: Infinity }, { behindMs: 1 }]
  expect(states.map((state) => deny(state))).toEqual(['configUnconfirmed', 'configUnconfirmed', 'configUnconfirmed'])
})

test('a refusal that no configuration changes stays as it is', () => {
  expect([deny({ behindMs: 1 }, 'badRequest'), deny({ behindMs: 1 }, 'noCapacity')]).toEqual(['badRequest', 'noCapacity'])
})

// Guards against a 503, which promises that a request has not run, for one that may have run.
test('a denial of a request that may have run stays as it is', () => {
  const policy = new HostDenialPolicy({ getUnconfirmedMs: () => Infinity, getBehindMs: () => 0, getMaxUnconfirmedMs: () => maxUnconfirmedMs })
  expect(policy.check(createFailure('bodyTooLarge', { outcome: Outcome.unknown })).name).toEqual('bodyTooLarge')
})
