import { test } from 'node:test'
import { expect } from 'earl'
import { copyRequestHeaders } from '../../src/host/copyRequestHeaders.js'

// Guards against forwarding hop-by-hop headers, and against losing end-to-end headers.
test('only hop-by-hop and replaced headers are dropped', () => {
  const raw = [
    'Host', 'h', 'Connection', 'keep-alive, X-Hop', 'X-Hop', '1', 'Authorization', 'a', 'Cookie', 'c=d',
    'X-Deadline-Ms', '5', 'Transfer-Encoding', 'chunked'
  ]
  expect(copyRequestHeaders(raw, new Set(['x-deadline-ms']))).toEqual(['Authorization', 'a', 'Cookie', 'c=d'])
})
