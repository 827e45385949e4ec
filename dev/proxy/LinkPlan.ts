/** A link of the proxy: whoever connects to `listen` reaches `target`. */
export interface LinkPlan {
  /** `a.b.c.d:port` on which the proxy listens. */
  readonly listen: string
  readonly target: string
  /** Name of the host, or `client-` and the region. */
  readonly source: string
  readonly sourceZone: string
  readonly sourceRegion: string
  /** Name of the host or endpoint, or `platform`. */
  readonly targetName: string
  readonly targetKind: 'host' | 'endpoint' | 'platform'
  readonly targetZone: string
  readonly targetRegion: string
  /** The target resets connections right behind its last bytes, which must not look like an end. */
  readonly findsLateResets?: boolean
  /** One-way delay in ms. */
  readonly delayMs: number
  /** Bandwidth groups of data to and from the target; undefined means unlimited. */
  readonly forwardGroup?: string
  readonly backwardGroup?: string
}
