import * as fc from 'fast-check'
import { forwardedHost } from './forwardedHost.js'
import { mostly } from './mostly.js'

const route = fc.record({
  name: mostly(fc.constant('r-1')),
  host: mostly(fc.constant('x')),
  prefix: mostly(fc.constant('/a/')),
  kind: mostly(fc.constantFrom('idempotent', 'once', 'upload')),
  parts: mostly(fc.array(fc.record({ service: mostly(fc.constant('stock')), weight: mostly(fc.nat(3)) }), { maxLength: 2 })),
  timeoutMs: mostly(fc.nat(5_000)),
  objectiveMs: mostly(fc.nat(5_000)),
  priority: mostly(fc.nat(3)),
  maxAttempts: mostly(fc.nat(3)),
  hasAffinity: mostly(fc.boolean()),
  regions: mostly(fc.constantFrom([], ['north']))
})
const limits = fc.constant({ headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 })
const config = fc.record({
  version: mostly(fc.nat(1_000_000)), routes: mostly(fc.array(mostly(route), { maxLength: 3 })), services: mostly(fc.constant([])), limits: mostly(limits)
})
const endpoint = fc.record({
  id: mostly(fc.constantFrom('e-1', 'e-2')),
  address: mostly(fc.constant('10.0.0.1:80')),
  service: mostly(fc.constant('stock')),
  zone: mostly(fc.constant('north-a')),
  slots: mostly(fc.nat(5)),
  isDraining: mostly(fc.boolean()),
  coldMs: mostly(fc.nat(10)),
  bornAtMs: mostly(fc.nat(10))
})
const entry = fc.oneof(
  fc.record({ kind: mostly(fc.constant('routing')), config: mostly(config) }),
  fc.record({ kind: mostly(fc.constant('evacuation')), zone: mostly(fc.constant('north-a')) }),
  fc.record({ kind: mostly(fc.constant('endpoint')), endpoint: mostly(endpoint) }),
  fc.record({ kind: mostly(fc.constant('host')), host: mostly(forwardedHost) })
)
const version = fc.nat(1_000_000)
const row = fc.record({ key: mostly(fc.constantFrom('a', 'b')), version: mostly(version), entry: mostly(entry) })
const rows = mostly(fc.array(mostly(row), { maxLength: 3 }))
const retained = fc.option(fc.record({ remainingMs: mostly(fc.nat(5_000)), rows }), { nil: undefined })
/** A page of a table as other hosts forward it, with odd fields at times. */
export const forwardedPage = fc.record({ era: mostly(fc.nat(3)), version: mostly(version), after: mostly(version), rows, retained: mostly(retained) })
