/** What an endpoint says about itself on an answer or a probe. */
export interface EndpointReport {
  readonly state: 'ready' | 'cold' | 'draining'
  /** Slots in use by its own count. */
  readonly used: number
  readonly slots: number
}
