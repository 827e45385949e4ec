/** State of a host that decides whether a change is safe. */
export interface HostReachability {
  readonly host: string
  /** False when the host is suspect, dead, or has never reported. */
  readonly reachable: boolean
  /** Configuration version that the host's entry process has in force; 0 when unknown. */
  readonly appliedVersion: number
}
