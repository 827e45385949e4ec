import type { EndpointSpec } from '../model/EndpointSpec.js'
import type { EndpointReport } from './EndpointReport.js'

/** Relation of this host to an endpoint. */
type Ownership = 'primary' | 'adopter' | 'none'

/** State of an endpoint that this host owns or owned; times are monotonic ms. */
export interface OwnedEndpointRow {
  spec: EndpointSpec
  region: string
  ownership: Ownership
  /** Requests of this host in flight at the endpoint. */
  inFlight: number
  /** Slots used by other hosts, estimated from the endpoint's reports. */
  usedByOthers: number
  /** Estimate from the newest report alone. The lower of two estimates counts, because a report can cross an answer on the way. */
  lastUsedByOthers: number
  report: EndpointReport | undefined
  reportAtMs: number
  /** Time of the last successful probe. */
  probedAtMs: number
  nextProbeAtMs: number
  /** Consecutive failed attempts and probes. */
  failures: number
  /** True while the endpoint gets no requests because of failures; ends with the next successful probe. */
  isEjected: boolean
  /** Slots allowed since the endpoint last shed a request; infinite when it has not shed any. */
  shedLimit: number
  shedAtMs: number
  /** Start of the slow-start ramp; undefined when the endpoint is warm. */
  rampStartMs: number | undefined
  /** True when an operator drains the endpoint or its zone, or the platform lists it as leaving. */
  isDrainRequested: boolean
  /** True when the last report of the endpoint had the state `draining`. */
  isDrainReported: boolean
  /** Mean service time in ms; 0 before the first answer. */
  serviceMs: number
}
