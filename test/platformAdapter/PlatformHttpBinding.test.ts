import { test } from 'node:test'
import { expect } from 'earl'
import { PlatformHttpBinding } from '../../platform/PlatformHttpBinding.js'

const binding = new PlatformHttpBinding()

// Guards against missing the affinity cookie among others, and against matching the end of another cookie's name.
test('the affinity key is read from its cookie', () => {
  expect(binding.readObject(['Cookie', 'a=b; X-Affinity-Key=17; c=d'])).toEqual('17')
  expect(binding.readObject(['Cookie', 'not-X-Affinity-Key=17'])).toEqual(undefined)
  expect(binding.readObject([])).toEqual(undefined)
})

// Guards against returning the response to another request.
test('a response with another request id is not accepted', () => {
  for (const isReusedConnection of [true, false]) {
    expect(binding.isAnswerTo('a', ['X-Request-Id', 'a'], isReusedConnection)).toEqual(true)
    expect(binding.isAnswerTo('a', ['x-request-id', 'b'], isReusedConnection)).toEqual(false)
    expect(binding.isAnswerTo('a', [], isReusedConnection)).toEqual(!isReusedConnection)
  }
})

// Guards against retrying a request that may have run, and against not retrying one that did not.
test('only the header or status of an endpoint marks a request as not executed', () => {
  expect(binding.readAnswerMetadata(503, []).isNotExecuted).toEqual(false)
  expect(binding.readAnswerMetadata(503, ['X-Not-Executed', '1']).isNotExecuted).toEqual(true)
  expect(binding.readAnswerMetadata(421, []).isMisdirected).toEqual(true)
  expect(binding.readAnswerMetadata(200, ['X-Server-Load', '3,1,8']).notice.load).toEqual({ running: 3, waiting: 1 })
  expect(binding.readAnswerMetadata(200, ['X-Server-Load', 'much']).notice.load).toEqual(undefined)
})

// Guards against a limit that is not seen, and against text that becomes a limit by chance.
test('a response tells the rate limit of its endpoint', () => {
  const read = (...values: string[]): unknown => binding.readAnswerMetadata(200, values.flatMap((value) => ['Server-Limit', value])).notice.rateLimit
  expect(read()).toEqual({ kind: 'none' })
  expect([read('6.6'), read('0'), read('40', ' 2.5 ')]).toEqual([6.6, 0, 2.5].map((value) => ({ kind: 'value', value })))
  for (const text of ['', '-1', '1e9', 'NaN', 'Infinity', '0x10', '1.', '3, 4', '9'.repeat(10)]) expect(read(text)).toEqual({ kind: 'invalid', text })
  expect(read('3', 'many')).toEqual({ kind: 'invalid', text: '3,many' })
})

// Guards against rounding short retry delays up to a whole second.
test('Retry-After has fractions of seconds', () => {
  expect(binding.formatRetryAfter(150)).toEqual('0.150')
})

// Guards against a leaving that is not seen among others, and against text that counts as one by chance.
test('a response tells that its endpoint is leaving', () => {
  const read = (...values: string[]): unknown => binding.readAnswerMetadata(503, values.flatMap((value) => ['Server-Leaving', value])).notice.leaving
  expect(read()).toEqual({ kind: 'none' })
  for (const values of [['1'], ['1', '1'], ['0', ' 1 ']]) expect(read(...values)).toEqual({ kind: 'value', value: true })
  for (const text of ['', '0', '11', 'true', '1, 1']) expect(read(text)).toEqual({ kind: 'invalid', text })
})

// Guards against a back-off that is not seen, and against one taken from a response that says it of something else.
test('only a 503 tells the back-off of its endpoint', () => {
  const read = (status: number, ...values: string[]): unknown => binding.readAnswerMetadata(status, values.flatMap((value) => ['Retry-After', value])).notice.backoffMs
  expect([read(503), read(200, '3'), read(429, '3')]).toEqual(Array(3).fill({ kind: 'none' }))
  expect([read(503, '0.5'), read(503, '20'), read(503, '2', '1.5')]).toEqual([500, 20_000, 2_000].map((value) => ({ kind: 'value', value })))
  for (const text of ['', '-1', '1e9', 'Infinity', 'Wed, 21 Oct 2037 07:28:00 GMT']) expect(read(503, text)).toEqual({ kind: 'invalid', text })
})
