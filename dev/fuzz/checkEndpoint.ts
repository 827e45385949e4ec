import { validateHeaderValue } from 'node:http'
import { parseDestination } from '../../src/common/parseDestination.js'
import type { EndpointRecord } from '../../src/endpoints/EndpointRecord.js'

/**
 * Uses an endpoint as an attempt does.
 * @throws {Error} when code behind the edge could not bear it
 */
export function checkEndpoint ({ id, address, service, zone, slots, coldMs, bornAtMs }: EndpointRecord): void {
  validateHeaderValue('X-Expect-Instance', id)
  parseDestination(address)
  if (service === '' || zone === '') throw new Error('an endpoint has an empty name')
  if (!Number.isSafeInteger(slots) || slots < 1 || slots > 1_000_000) throw new Error(`an endpoint has ${slots} slots`)
  if (!Number.isFinite(coldMs) || coldMs < 0 || coldMs > 1e12) throw new Error(`an endpoint is cold for ${coldMs} ms`)
  if (!Number.isSafeInteger(bornAtMs)) throw new Error(`an endpoint was born at ${bornAtMs}`)
}
