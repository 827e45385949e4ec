/** Configuration of a link, which proxies connections from `listen` to `target`. */
export interface LinkPlan {
  /** `a.b.c.d:port` on which the proxy listens. */
  readonly listen: string
  readonly target: string
  /** Name of the host, or `client-<region>`. */
  readonly source: string
  readonly sourceZone: string
  readonly sourceRegion: string
  /** Name of the host or endpoint, or `platform`. */
  readonly targetName: string
  readonly targetKind: 'host' | 'endpoint' | 'platform'
  readonly targetZone: string
  readonly targetRegion: string
  /** Passes on a reset that arrives directly after the target's last bytes as a reset instead of an orderly end. */
  readonly findsLateResets?: boolean
  /** One-way delay in ms. */
  readonly delayMs: number
  /** Names of the bandwidth groups for data to and from the target; unlimited when undefined. */
  readonly forwardGroup?: string
  readonly backwardGroup?: string
}
