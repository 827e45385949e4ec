import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { formatTable } from '../../src/ctl/formatTable.js'
import { guessFileKind } from '../../src/ctl/guessFileKind.js'
import { parseHosts } from '../../src/ctl/parseHosts.js'
import { readCredential } from '../../src/ctl/readCredential.js'
import { toCommandFailure } from '../../src/ctl/toCommandFailure.js'

// Guards against crashes and against partly valid lists of hosts.
test('host lists are parsed or rejected', () => {
  expect(parseHosts('10.0.0.1, 10.0.0.2:9,10.0.0.1:8085')._unsafeUnwrap()).toEqual(['10.0.0.1:8085', '10.0.0.2:9'])
  for (const text of ['', ',', 'a', '10.0.0.1:0', '10.0.0.1:65536', '10.0.0.1:1:2', '[::1]:1', '10.0.0.1:1,x']) expect(parseHosts(text).isErr()).toEqual(true)
  fc.assert(fc.property(fc.oneof(fc.string(), fc.array(fc.oneof(fc.ipV4(), fc.constantFrom(':', ',', '8085'))).map((parts) => parts.join(''))), (text) => {
    const hosts = parseHosts(text)
    if (hosts.isOk()) for (const host of hosts.value) expect(host).toMatchRegex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/)
  }), { seed: 6, numRuns: 1_000 })
})

// Guards against crashes on responses of other servers, and against refusals without a next step.
test('any refusal body results in a failure with a next step', () => {
  fc.assert(fc.property(fc.nat(599), fc.oneof(fc.jsonValue(), fc.record({ code: fc.nat(), name: fc.string(), outcome: fc.string(), message: fc.string() })), (status, body) => {
    expect(toCommandFailure(status, body).next.length).toBeGreaterThan(0)
  }), { seed: 7, numRuns: 500 })
  expect(toCommandFailure(503, { code: 6002, name: 'writeUnknown', outcome: 'unknown', message: 'm' }).exit).toEqual('unknown')
})

// Guards against crashes on invalid files and against control characters that reach the terminal.
test('file kinds are guessed and tables printed for any text', () => {
  fc.assert(fc.property(fc.string(), (text) => {
    expect(['settings', 'deployment', 'contracts']).toInclude(guessFileKind(text))
    expect(formatTable(['A', 'B'], [[text, 1]]).replaceAll('\n', '')).not.toMatchRegex(/\p{Cc}/u)
  }), { seed: 8, numRuns: 500 })
})

// Guards against missing credentials and against credentials that are invalid in an HTTP header.
test('credentials are read from the environment or rejected', () => {
  expect(readCredential(undefined, { SHUNT_CREDENTIAL: 'abc\n' })._unsafeUnwrap()).toEqual('abc')
  for (const text of ['', ' ', 'a b', 'é', 'x'.repeat(513)]) expect(readCredential(undefined, { SHUNT_CREDENTIAL: text }).isErr()).toEqual(true)
  expect(readCredential('none', {})._unsafeUnwrapErr().exit).toEqual('denied')
})
