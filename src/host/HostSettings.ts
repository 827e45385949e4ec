import type { HostBounds } from './HostBounds.js'

/** Checked settings of a host process on the platform. */
export interface HostSettings {
  readonly name: string
  readonly zone: string
  readonly region: string
  /** Region of each zone. */
  readonly regionOfZone: Readonly<Record<string, string>>
  readonly listen: {
    /** `a.b.c.d:port` for callers, readiness checks, look-ups, other hosts and metrics. */
    readonly callers: string
    readonly readiness: string
    readonly directory: string
    readonly peers: string
    readonly metrics: string
  }
  /** Bandwidth of the host's own link; 0 when it isn't known. */
  readonly linkMbps: number
  /** The whole system starts for the first time, so endpoints know no objects yet. */
  readonly isFirstStart: boolean
  /** Peer addresses of a few hosts that may be up. */
  readonly seeds: readonly string[]
  /** Translations of addresses for outgoing connections to endpoints and hosts; empty in production. */
  readonly dial: Readonly<Record<string, string>>
  /** Separates deployments on the links between hosts. */
  readonly clusterKey: string
  readonly bounds: HostBounds
}
