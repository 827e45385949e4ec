import type { MemberReport } from './MemberReport.js'

/**
 * A member row in a frame, without keys to keep frames small:
 * host, zone, incarnation, seq, state number, configuration version, and the report when the receiver may lack it.
 */
export type WireRow = readonly [
  host: string,
  zone: string,
  incarnation: number,
  seq: number,
  state: number,
  configVersion: number,
  report?: MemberReport
]
