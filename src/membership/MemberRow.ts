import type { MemberState } from '../model/MemberState.js'
import type { MemberReport } from './MemberReport.js'

/** What an agent keeps of one host. */
export interface MemberRow {
  readonly host: string
  zone: string
  incarnation: number
  seq: number
  state: MemberState
  configVersion: number
  report: MemberReport | undefined
  /** Number of the local change that touched the row last. */
  changeNo: number
  /** Number of the local change that replaced the report last. */
  reportNo: number
  /** Number of the local change that replaced the use per customer last. */
  usesNo: number
  /** Host that the last change came from; empty when it was made here. */
  source: string
  /** Monotonic time at which a suspect host becomes dead. */
  deadAtMs: number
  /** Returns from suspicion that followed each other closely. */
  flaps: number
  lastFlapMs: number
  /** Monotonic time until which a flapping host is shown as suspect. */
  holdUntilMs: number
  /** The direct link from this host does not work, though the host is alive. */
  linkDown: boolean
  /** Neighbours in the order of changes. */
  older: MemberRow | undefined
  newer: MemberRow | undefined
}
