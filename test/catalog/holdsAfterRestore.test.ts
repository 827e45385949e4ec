import { test } from 'node:test'
import { expect } from 'earl'
import type { CatalogEntry } from '../../src/catalog/CatalogEntry.js'
import type { CatalogRow } from '../../src/catalog/CatalogRow.js'
import type { EndpointRecord } from '../../src/endpoints/EndpointRecord.js'
import { holdsAfterRestore } from '../../src/catalog/holdsAfterRestore.js'
import { createEndpoint } from '../support/createEndpoint.js'

const earlierVersion = 9
const createRow = (version: number, change: Partial<EndpointRecord>): CatalogRow => {
  const entry: CatalogEntry = { kind: 'endpoint', endpoint: createEndpoint('e-1', { bornAtMs: 5, ...change }) }
  return { key: 'e-1', version, entry }
}
const holds = (earlier: Partial<EndpointRecord>, restored: Partial<EndpointRecord>, version = 4): boolean =>
  holdsAfterRestore(createRow(earlierVersion, earlier), createRow(version, restored))

// Guards against requests to an endpoint that is leaving, and against hiding one that has started anew.
test('the newest state of an endpoint holds after a restore', () => {
  expect([
    holds({ isDraining: true }, {}),
    holds({}, { isDraining: true }),
    holds({ bornAtMs: 7 }, { isDraining: true }),
    holds({ isDraining: true }, { bornAtMs: 7 }),
    holds({ isDraining: true }, {}, earlierVersion + 1)
  ]).toEqual([true, false, true, false, false])
})

// Guards against an endpoint that registered after the restore and is hidden because another incarnation was removed long before.
test('a removal holds only against rows written before it', () => {
  const removed = { key: 'e-1', version: earlierVersion, entry: undefined }
  expect([4, earlierVersion + 1].map((version) => holdsAfterRestore(removed, createRow(version, {})))).toEqual([true, false])
  expect(holdsAfterRestore(removed, undefined)).toEqual(false)
})
