import type { ResultName } from '../common/ResultName.js'

/** What a host has exchanged with other hosts in a span of time. */
export interface PeerTrafficSums {
  sentBytes: number
  sentRows: number
  /** Number of pages sent that held a whole table. */
  wholeTables: number
  /** Number of exchanges with a reply, and the time in ms of the longest one. */
  replies: number
  longestMs: number
  /** Number of failed exchanges by result code. */
  readonly failures: Map<ResultName, number>
}
