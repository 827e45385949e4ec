import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { readHeartbeat } from '../../src/peers/readHeartbeat.js'
import { createBeat } from '../support/createBeat.js'

// Guards against a heartbeat that is changed by its own check.
test('a heartbeat is read as it was sent', () => {
  const beat = createBeat('a', 1, {
    loads: [['e1', 2]],
    breaks: [['e2', 3]],
    demands: [['stock', 4.5]],
    pages: [['hosts', { version: 3, after: 1, rows: [{ key: 'a', version: 3, entry: undefined }] }]]
  })
  expect(readHeartbeat(beat)).toEqual(beat)
})

// Guards against hosts that don't hear each other while a release replaces them one after the other.
test('a field that came later may be missing', () => {
  const { breaks: _breaks, ...earlier } = createBeat('a', 1)
  expect(readHeartbeat(earlier)?.breaks).toEqual([])
})

// Guards against a frame of another shape that ends a host or poisons its tables.
test('anything else is refused', () => {
  const beat = createBeat('a', 1)
  for (const wrong of [undefined, null, 7, {}, { ...beat, loads: [['e1']] }, { ...beat, host: { name: 'a' } }, { ...beat, pages: [['others', { version: 1, rows: [] }]] }]) {
    expect(readHeartbeat(wrong)).toEqual(undefined)
  }
  fc.assert(fc.property(fc.anything(), (value) => { readHeartbeat(value) }), { seed: 7 })
})
