import type { Member } from './Member.js'

/** What an agent tells the entry and lookup processes of its host. */
export interface View {
  /** Changes by one with each view that the agent publishes. */
  readonly seq: number
  /** Age in ms of the newest heartbeat exchange with any other host when the view was made. */
  readonly contactAgeMs: number
  readonly configVersion: number
  /**
   * True while the platform says that no configuration was ever accepted and no host knows of one. Then no process
   * of any host can have served a request, so a process that starts now has lost nothing.
   */
  readonly isFirstStart: boolean
  readonly members: readonly Member[]
  /** Names of endpoints that the platform's list calls leaving. */
  readonly leavingEndpoints: readonly string[]
  /** Names of hosts that the platform's list calls leaving. */
  readonly leavingHosts: readonly string[]
}
