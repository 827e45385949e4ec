import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { GrowingBuffer } from '../../src/common/GrowingBuffer.js'

// Guards against bytes that are lost, repeated or reordered.
test('the collected bytes are those of the chunks', () => {
  fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 300 })), (chunks) => {
    const buffer = new GrowingBuffer()
    for (const chunk of chunks) buffer.append(Buffer.from(chunk))
    const all = Buffer.concat(chunks)
    expect(buffer.length).toEqual(all.length)
    expect(buffer.take().equals(all)).toEqual(true)
    expect(buffer.length).toEqual(0)
  }))
})

// Guards against chunks of one byte that keep the buffers of their reads alive, which filled the memory of a host (review/2).
test('many small chunks need little more memory than their bytes', () => {
  const buffer = new GrowingBuffer()
  for (let index = 0; index < 200_000; index++) buffer.append(Buffer.alloc(65_536).subarray(0, 1))
  expect(buffer.take().buffer.byteLength < 500_000).toEqual(true)
})
