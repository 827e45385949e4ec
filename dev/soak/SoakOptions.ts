/** Size and seed of a run of the soak. */
export interface SoakOptions {
  readonly seed: number
  /** Duration in s of the fault injection. */
  readonly seconds: number
  readonly hosts: number
  /** Number of addresses at which endpoints run. */
  readonly endpoints: number
  readonly callers: number
  /** Mean number of concurrent faults. */
  readonly overlap: number
  /** Adds connections that fall silent for good to the faults. */
  readonly silencesConnections?: boolean
  /** One-way delay in ms between regions; 0 when it is not set. */
  readonly regionDelayMs?: number
  /** Bytes a second that a host sends to other hosts and to the store, and receives from the store; no limit when it is not set. */
  readonly linkBytesPerSecond?: number | undefined
  /** Adds configurations that grow by many routes to the faults. */
  readonly growsConfig?: boolean
  /** Adds endpoints that restart at their address and send copies of refusals to the faults, and places callers in all regions. */
  readonly restartsEndpoints?: boolean
}
