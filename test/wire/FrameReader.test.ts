import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { encodeFrame } from '../../src/wire/encodeFrame.js'
import { FrameReader } from '../../src/wire/FrameReader.js'

// Guards against frames that are lost or merged, wherever TCP splits the stream.
test('frames survive any split of the stream', () => {
  fc.assert(fc.property(fc.array(fc.string(), { minLength: 1, maxLength: 5 }), fc.integer({ min: 1, max: 40 }), (texts, step) => {
    const stream = Buffer.concat(texts.map((text) => encodeFrame({ t: 'x', text })))
    const reader = new FrameReader()
    const received: unknown[] = []
    for (let offset = 0; offset < stream.length; offset += step) {
      reader.push(stream.subarray(offset, offset + step))
      for (let message = reader.next(); message.isOk() && message.value !== undefined; message = reader.next()) {
        received.push(message.value.text)
      }
    }
    expect(received).toEqual(texts)
  }), { seed: 1, numRuns: 200 })
})

// Guards against exceptions and unbounded buffering on bytes that are not frames.
test('arbitrary bytes cause a failure result or wait for more input, but no exception', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
    const reader = new FrameReader()
    reader.push(Buffer.from(bytes))
    const result = reader.next()
    if (result.isErr()) expect(['frameTooLarge', 'frameInvalid', 'frameVersion']).toInclude(result.error.name)
  }), { seed: 2, numRuns: 2_000 })
})
