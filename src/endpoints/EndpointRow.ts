import type { EndpointRecord } from './EndpointRecord.js'

/** What this host knows about an endpoint; times are monotonic ms. */
export interface EndpointRow {
  record: EndpointRecord
  readonly region: string
  /** Hash of its id, for the order of endpoints of an object. */
  readonly hash: number
  /** Requests of this host in flight there. */
  inFlight: number
  /** Requests of others there by the endpoint's last report, and when it came. */
  reportedOtherInFlight: number
  reportedAtMs: number
  /** Requests of the other hosts there by their heartbeats. */
  peerInFlight: number
  /** Cold until this time. */
  coldUntilMs: number
  /** Gets no request before a health check has succeeded. */
  isSuspect: boolean
  nextProbeAtMs: number
  isProbing: boolean
  /** Failed attempts in a row. */
  failures: number
  /** Refused or broken attempts in a row, without those that ran out of time, and when the last one was. */
  breaks: number
  brokeAtMs: number
  /** When an attempt last succeeded. */
  lastSuccessAtMs: number
  /** Until this time the failures that other hosts report are taken as known. */
  peerReportsIgnoredUntilMs: number
  /** Moving share of attempts that failed, 0 to 1. */
  failureShare: number
  /** Gets no request until this time because of failed attempts. */
  ejectedUntilMs: number
  /** Treated as full until this time because it shed a request. */
  shedBackoffUntilMs: number
  /** Until this time non-idempotent requests use connections of their own, because an answer was lost or wrong. */
  freshUntilMs: number
  /** Moving mean of the work in ms for one request, without the wait for a slot; 0 before the first. */
  serviceTimeMs: number
  /** The registry has no entry for it any more: until when it is kept all the same, or undefined. */
  expiresAtMs: number | undefined
}
