import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { readHeartbeat } from '../../src/peers/readHeartbeat.js'
import { createHeartbeat } from '../support/createHeartbeat.js'

// Guards against validation that alters a heartbeat.
test('a valid heartbeat is returned unchanged', () => {
  const beat = createHeartbeat('a', 1, {
    loads: [['e1', 2]],
    breaks: [['e2', 3]],
    demands: [['stock', 4.5]],
    pages: [['hosts', { version: 3, after: 1, rows: [{ key: 'a', version: 3, entry: undefined }] }]]
  })
  expect(readHeartbeat(beat)).toEqual(beat)
})

// Guards against hosts that reject each other's heartbeats during a rolling upgrade.
test('a field added in a later release may be missing', () => {
  const { breaks: _breaks, ...earlier } = createHeartbeat('a', 1)
  expect(readHeartbeat(earlier)?.breaks).toEqual([])
})

// Guards against a malformed frame that crashes a host or corrupts its tables.
test('malformed heartbeats are rejected', () => {
  const beat = createHeartbeat('a', 1)
  for (const wrong of [
    undefined, null, 7, {}, { ...beat, loads: [['e1']] }, { ...beat, host: { name: 'a' } }, { ...beat, pages: [['others', { version: 1, rows: [] }]] }
  ]) {
    expect(readHeartbeat(wrong)).toEqual(undefined)
  }
  fc.assert(fc.property(fc.anything(), (value) => { readHeartbeat(value) }), { seed: 7 })
})
