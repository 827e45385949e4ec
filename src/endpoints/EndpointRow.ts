import type { AnnouncedState } from './AnnouncedState.js'
import type { EndpointRecord } from './EndpointRecord.js'

/** State of an endpoint as seen by this host; times are monotonic ms. */
export interface EndpointRow {
  record: EndpointRecord
  readonly region: string
  /** Hash of the endpoint's id, from which the affinity rankings are computed. */
  readonly hash: number
  /** Requests of this host in flight at the endpoint. */
  inFlight: number
  /** Requests at the endpoint that this host didn't send, by the endpoint's last load report, and when it was received. */
  reportedOtherInFlight: number
  reportedAtMs: number
  /** Requests of other hosts in flight at the endpoint according to their heartbeats. */
  peerInFlight: number
  /** The endpoint is cold until this time, and its request rate is limited. */
  coldUntilMs: number
  readonly announced: AnnouncedState
  /** The endpoint is avoided until a health check succeeds. */
  isSuspect: boolean
  nextProbeAtMs: number
  isProbing: boolean
  /** Consecutive failed attempts. */
  failures: number
  /** Consecutive refused or broken attempts, not counting timeouts, and when the last one ended. */
  breaks: number
  lastBreakAtMs: number
  /** When the last successful attempt ended. */
  lastSuccessAtMs: number
  /** Failures that other hosts report are ignored until this time, since the endpoint has been ejected for them. */
  peerReportsIgnoredUntilMs: number
  /** Exponential moving average of the share of failed attempts, from 0 to 1. */
  failureShare: number
  /** The endpoint is ejected until this time because of failed attempts. */
  ejectedUntilMs: number
  /** The endpoint counts as full until this time because it shed a request. */
  shedBackoffUntilMs: number
  /** Non-idempotent requests use dedicated connections until this time, because an attempt failed or timed out. */
  dedicatedConnectionsUntilMs: number
  /** Exponential moving average of the service time in ms, without the wait for a slot; 0 before the first success. */
  serviceTimeMs: number
  /** When the endpoint may be removed, since the registry has no entry for it; undefined while it is registered. */
  expiresAtMs: number | undefined
}
