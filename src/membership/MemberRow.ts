import type { MemberState } from '../model/MemberState.js'
import type { MemberReport } from './MemberReport.js'

/** State that an agent keeps per host. */
export interface MemberRow {
  readonly host: string
  zone: string
  incarnation: number
  seq: number
  state: MemberState
  configVersion: number
  report: MemberReport | undefined
  /** Number of the last local change to the row. */
  changeNo: number
  /** Number of the last local change that replaced the report. */
  reportNo: number
  /** Number of the last local change that replaced the usage per customer. */
  usesNo: number
  /** Peer that sent the last change; empty for a change made by the own agent. */
  source: string
  /** Monotonic time at which a suspect host becomes dead. */
  deadAtMs: number
  /** Recoveries to alive that followed each other within `flapResetMs`. */
  flaps: number
  lastFlapMs: number
  /** Monotonic time until which a flapping host is reported as suspect. */
  dampedUntilMs: number
  /** True when the direct link to the host does not work in at least one direction. */
  linkDown: boolean
  /** Neighbours in the list of rows, which is ordered by `changeNo`. */
  older: MemberRow | undefined
  newer: MemberRow | undefined
}
