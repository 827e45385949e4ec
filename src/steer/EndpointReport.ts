/** Load and state that an endpoint reports with an answer or a probe. */
export interface EndpointReport {
  readonly state: 'ready' | 'cold' | 'draining'
  /** Slots in use as counted by the endpoint. */
  readonly used: number
  readonly slots: number
}
