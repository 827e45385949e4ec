import { test } from 'node:test'
import { expect } from 'earl'
import { createFailure } from '../../src/common/createFailure.js'
import { ManualClock } from '../../src/common/ManualClock.js'
import { Outcome } from '../../src/common/Outcome.js'
import type { ResultName } from '../../src/common/ResultName.js'
import { HostDenialPolicy } from '../../src/host/HostDenialPolicy.js'
import { FixedFreshness } from '../support/FixedFreshness.js'

const maxUnconfirmedMs = 2_500

/** A policy of a host with this state of its configuration. */
function createPolicy ({ unconfirmedMs = 0, behindMs = 0 }: { unconfirmedMs?: number, behindMs?: number }): HostDenialPolicy {
  const freshness = new FixedFreshness(unconfirmedMs)
  freshness.behindMs = behindMs
  return new HostDenialPolicy({ freshness, clock: new ManualClock(), readMaxUnconfirmedMs: () => maxUnconfirmedMs })
}

/** Returns the result code of a request that would be denied, by default for a path without a route. */
function deny (state: { unconfirmedMs?: number, behindMs?: number }, name: ResultName = 'unknownService'): string {
  return createPolicy(state).check(createFailure(name)).name
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
  const policy = createPolicy({ unconfirmedMs: Infinity })
  expect(policy.check(createFailure('bodyTooLarge', { outcome: Outcome.unknown })).name).toEqual('bodyTooLarge')
})
