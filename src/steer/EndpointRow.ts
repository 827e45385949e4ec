import type { EndpointSpec } from '../model/EndpointSpec.js'
import type { EndpointReport } from './EndpointReport.js'

/** Relation of this host to an endpoint. */
type Ownership = 'primary' | 'adopter' | 'none'

/** State of an endpoint that this host owns or owned; times are monotonic ms. */
export interface EndpointRow {
  spec: EndpointSpec
  region: string
  ownership: Ownership
  /** Requests of this host in flight at the endpoint. */
  inFlight: number
  /** Slots that others seem to use, by the endpoint's reports. */
  foreign: number
  /** Estimate of the report before, so that one report that crosses an answer does not count. */
  lastForeign: number
  report: EndpointReport | undefined
  reportAtMs: number
  /** Time of the last successful probe. */
  probedAtMs: number
  nextProbeAtMs: number
  /** Failed attempts or probes in a row. */
  failures: number
  blocked: boolean
  /** Slots still allowed after shedding; infinite when the endpoint has not shed lately. */
  shedLimit: number
  shedAtMs: number
  /** Start of the cold ramp; undefined when warm. */
  rampStartMs: number | undefined
  /** Leaving by an operator's drain or the platform's list. */
  drained: boolean
  /** Leaving by the endpoint's own word. */
  saidLeaving: boolean
  /** Mean service time in ms; 0 before the first answer. */
  serviceMs: number
}
