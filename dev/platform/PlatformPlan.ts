/** What the platform stand-in is started with. */
export interface PlatformPlan {
  readonly address: string
  readonly port: number
  readonly controlPort: number
  /** Time in ms after which a change of a host shows in the list. */
  readonly hostLagMs: number
  readonly hosts: readonly { readonly name: string, readonly kind: 'entry' | 'upstream' }[]
}
