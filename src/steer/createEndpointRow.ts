import type { EndpointSpec } from '../model/EndpointSpec.js'
import type { EndpointRow } from './EndpointRow.js'

/** Creates the row of an endpoint of which nothing is known yet. */
export function createEndpointRow (spec: EndpointSpec, region: string): EndpointRow {
  return {
    spec,
    region,
    ownership: 'none',
    inFlight: 0,
    foreign: 0,
    lastForeign: Infinity,
    report: undefined,
    reportAtMs: -Infinity,
    probedAtMs: -Infinity,
    nextProbeAtMs: -Infinity,
    failures: 0,
    blocked: false,
    shedLimit: Infinity,
    shedAtMs: -Infinity,
    rampStartMs: undefined,
    drained: false,
    saidLeaving: false,
    serviceMs: 0
  }
}
