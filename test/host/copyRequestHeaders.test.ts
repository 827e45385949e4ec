import { test } from 'node:test'
import { expect } from 'earl'
import { copyRequestHeaders } from '../../src/host/copyRequestHeaders.js'

// Guards against headers of one connection that reach the next, and against others that are lost.
test('only headers of the connection are left out', () => {
  const raw = ['Host', 'h', 'Connection', 'keep-alive, X-Hop', 'X-Hop', '1', 'Authorization', 'a', 'Cookie', 'c=d', 'X-Deadline-Ms', '5', 'Transfer-Encoding', 'chunked']
  expect(copyRequestHeaders(raw, new Set(['x-deadline-ms']))).toEqual(['Authorization', 'a', 'Cookie', 'c=d'])
})
