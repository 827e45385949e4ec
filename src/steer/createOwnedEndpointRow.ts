import type { EndpointSpec } from '../model/EndpointSpec.js'
import type { OwnedEndpointRow } from './OwnedEndpointRow.js'

/** Creates the row of an endpoint that has not reported yet. */
export function createOwnedEndpointRow (spec: EndpointSpec, region: string): OwnedEndpointRow {
  return {
    spec,
    region,
    ownership: 'none',
    inFlight: 0,
    usedByOthers: 0,
    lastUsedByOthers: Infinity,
    report: undefined,
    reportAtMs: -Infinity,
    probedAtMs: -Infinity,
    nextProbeAtMs: -Infinity,
    failures: 0,
    isEjected: false,
    shedLimit: Infinity,
    shedAtMs: -Infinity,
    rampStartMs: undefined,
    isDrainRequested: false,
    isDrainReported: false,
    serviceMs: 0
  }
}
