import { test } from 'node:test'
import { expect } from 'earl'
import { createFailure } from '../../src/common/createFailure.js'
import { DenialPolicy } from '../../src/host/DenialPolicy.js'

const maxUnconfirmedMs = 2_500

/** Returns the result code of a request on a path without a route. */
function deny (state: { unconfirmedMs?: number, behindMs?: number }): string {
  const policy = new DenialPolicy({
    getUnconfirmedMs: () => state.unconfirmedMs ?? 0,
    getBehindMs: () => state.behindMs ?? 0,
    getMaxUnconfirmedMs: () => maxUnconfirmedMs
  })
  return policy.check(createFailure('unknownService')).name
}

test('a request is denied by a confirmed configuration', () => {
  expect(deny({ unconfirmedMs: maxUnconfirmedMs })).toEqual('unknownService')
})

// Guards against a final 4xx for what a newer configuration allows (issue 44).
test('a request is not denied while a newer configuration may allow it', () => {
  const states = [{ unconfirmedMs: maxUnconfirmedMs + 1 }, { unconfirmedMs: Infinity }, { behindMs: 1 }]
  expect(states.map(deny)).toEqual(['configUnconfirmed', 'configUnconfirmed', 'configUnconfirmed'])
})
