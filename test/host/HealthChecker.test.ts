import { test } from 'node:test'
import { expect } from 'earl'
import { PlatformHttpBinding } from '../../platform/PlatformHttpBinding.js'
import { DialMap } from '../../src/common/DialMap.js'
import { SystemClock } from '../../src/common/SystemClock.js'
import type { EndpointRow } from '../../src/endpoints/EndpointRow.js'
import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import { HealthChecker } from '../../src/host/HealthChecker.js'
import { NoticeRecorder } from '../../src/host/NoticeRecorder.js'
import { RoutingTable } from '../../src/routing/RoutingTable.js'
import { createRejectedInput } from '../support/createRejectedInput.js'
import { MemoryLogger } from '../support/MemoryLogger.js'
import { RawEndpoint } from '../support/RawEndpoint.js'
import { waitUntil } from '../support/waitUntil.js'
import { writeEndlessly } from '../support/writeEndlessly.js'

/** Bytes that an endpoint may send in the second before a health check times out, read by a host that stops reading early. */
const maxSentBytes = 5_000_000

/** Checks an endpoint once whose response has no end; returns its row and the bytes that it wrote. */
async function checkOnce (first: string, more: string): Promise<{ row: EndpointRow, sentBytes: number }> {
  let sentBytes = 0
  const endpoint = new RawEndpoint('e-0', (socket) => writeEndlessly(socket, { first, more }, (bytes) => { sentBytes += bytes }))
  await endpoint.listen()
  const clock = new SystemClock()
  const endpoints = new EndpointTable(() => 'north', () => 2_500)
  const { address } = endpoint.describe('stock', 'north-a') as { address: string }
  endpoints.update([{ id: 'e-0', address, service: 'stock', zone: 'north-a', slots: 1, isDraining: false, coldMs: 0, bornAtMs: 1 }], { nowMs: clock.nowMs(), mayHaveLapsed: false })
  const row = endpoints.get('e-0')!
  row.isSuspect = true
  const logger = new MemoryLogger()
  const notices = new NoticeRecorder({ endpoints, clock, logger, rejected: createRejectedInput(logger) })
  new HealthChecker({ endpoints, dial: new DialMap(), routing: new RoutingTable(), httpBinding: new PlatformHttpBinding(), notices, clock, logger }).run(clock.nowMs())
  await waitUntil(() => endpoint.closedConnections === 1 && !row.isProbing)
  endpoint.close()
  return { row, sentBytes }
}

// Guards against a health check that reads without end, and against taking bytes that are no response for health.
test('a health check whose response has no end stops reading', async () => {
  const head = 'HTTP/1.1 200 OK\r\nX-Instance-Id: e-0\r\n'
  const noHead = await checkOnce(head, 'X-A: x\r\n'.repeat(1_000))
  expect([noHead.row.isSuspect, noHead.sentBytes < maxSentBytes]).toEqual([true, true])
  const noResponse = await checkOnce('\0', 'x'.repeat(8_000))
  expect([noResponse.row.isSuspect, noResponse.sentBytes < maxSentBytes]).toEqual([true, true])
  const noBodyEnd = await checkOnce(`${head}\r\n`, 'x'.repeat(8_000))
  expect([noBodyEnd.row.isSuspect, noBodyEnd.sentBytes < maxSentBytes]).toEqual([true, true])
  const chunks = await checkOnce(`${head}Transfer-Encoding: chunked\r\n\r\n`, '1\r\nx\r\n'.repeat(1_000))
  expect([chunks.row.isSuspect, chunks.sentBytes < maxSentBytes]).toEqual([true, true])
  const interim = await checkOnce('', 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(300))
  expect([interim.row.isSuspect, interim.sentBytes < maxSentBytes]).toEqual([true, true])
})
