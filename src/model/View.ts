import type { Member } from './Member.js'

/** Snapshot of the membership that an agent sends to the entry and lookup processes of its host. */
export interface View {
  /** Grows by one with each view that the agent publishes. */
  readonly seq: number
  /** Time in ms from the last heartbeat exchange with any other host until the creation of the view. */
  readonly contactAgeMs: number
  readonly configVersion: number
  /**
   * True while the platform reports that no configuration was ever accepted and no host holds one. Then no process
   * of any host can have served a request, so a process that starts now has no earlier state to recover.
   */
  readonly isFirstStart: boolean
  readonly members: readonly Member[]
  /** Names of endpoints that the platform's list marks as leaving. */
  readonly leavingEndpoints: readonly string[]
  /** Names of hosts that the platform's list marks as leaving. */
  readonly leavingHosts: readonly string[]
}
