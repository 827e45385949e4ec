import { test } from 'node:test'
import { expect } from 'earl'
import { PlatformDialect } from '../../platform/PlatformDialect.js'

const dialect = new PlatformDialect()

// Guards against objects that are not found behind other cookies, or that are taken from part of another name.
test('the object is read from its cookie', () => {
  expect(dialect.readObject(['Cookie', 'a=b; X-Affinity-Key=17; c=d'])).toEqual('17')
  expect(dialect.readObject(['Cookie', 'not-X-Affinity-Key=17'])).toEqual(undefined)
  expect(dialect.readObject([])).toEqual(undefined)
})

// Guards against an answer that is taken for that of another request.
test('an answer with another id is not its own', () => {
  expect(dialect.isAnswerTo('a', ['X-Request-Id', 'a'])).toEqual(true)
  expect(dialect.isAnswerTo('a', ['x-request-id', 'b'])).toEqual(false)
})

// Guards against work that is repeated although it may have run, and the other way round.
test('only the endpoint\'s own word means not executed', () => {
  expect(dialect.readRemark(503, []).isNotExecuted).toEqual(false)
  expect(dialect.readRemark(503, ['X-Not-Executed', '1']).isNotExecuted).toEqual(true)
  expect(dialect.readRemark(421, []).isMisdirected).toEqual(true)
  expect(dialect.readRemark(200, ['X-Server-Load', '3,1,8']).load).toEqual({ running: 3, waiting: 1 })
  expect(dialect.readRemark(200, ['X-Server-Load', 'much']).load).toEqual(undefined)
})

// Guards against callers that wait a whole second where less would do.
test('Retry-After has fractions of seconds', () => {
  expect(dialect.formatRetryAfter(150)).toEqual('0.150')
})
