import type { MemberReport } from './MemberReport.js'

/**
 * A member row as encoded in a frame; a tuple without keys keeps frames small. `state` is an index into `stateRanks`.
 * The report is present only when the receiver may not have it.
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
