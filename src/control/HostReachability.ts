/** What a writer knows of a host when it judges a change. */
export interface HostReachability {
  readonly host: string
  /** False when the host is suspect, dead or was never heard. */
  readonly reachable: boolean
  /** Configuration version that the host's entry process has in force; 0 when unknown. */
  readonly appliedVersion: number
}
