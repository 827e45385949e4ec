import type { HostRecord } from './HostRecord.js'

/** What this host knows about another one; times are monotonic ms. */
export interface PeerRow {
  record: HostRecord
  /** When a heartbeat of it came last; undefined before the first. */
  lastHeartbeatAtMs: number | undefined
  /** Its silence has been logged. */
  isReportedDown: boolean
  nextHeartbeatAtMs: number
  isHeartbeatInFlight: boolean
  /** It serves callers and is not leaving, by its own word. */
  isReady: boolean
  isLeaving: boolean
  incarnation: number
  /** It takes missing entries as gone. */
  isStoreSettled: boolean
  /** When the store last answered it; undefined when it can't reach the store. */
  lastStoreContactAtMs: number | undefined
  /** Requests a second that it receives, by service. */
  demands: ReadonlyArray<readonly [service: string, perSecond: number]>
  /** Its shares of requests that stay in its region, by service. */
  localShares: ReadonlyArray<readonly [service: string, share: number]>
  /** Its broken attempts in a row by endpoint. */
  breaks: ReadonlyArray<readonly [endpoint: string, count: number]>
  /** Its requests in flight by endpoint. */
  loads: ReadonlyMap<string, number>
}
