import type { HostBounds } from './HostBounds.js'

/** Validated settings of a host process on the platform. */
export interface HostSettings {
  readonly name: string
  readonly zone: string
  readonly region: string
  /** Region of each zone. */
  readonly regionOfZone: Readonly<Record<string, string>>
  readonly listen: {
    /** `a.b.c.d:port` for callers, readiness checks, lookups, other hosts and metrics. */
    readonly callers: string
    readonly readiness: string
    readonly directory: string
    readonly peers: string
    readonly metrics: string
  }
  /** Bandwidth of the host's own link in Mbit/s; 0 when unknown. */
  readonly linkMbps: number
  /** True at the very first start of the whole system, when no endpoint has handled any object yet. */
  readonly isFirstStart: boolean
  /** Peer addresses of a few hosts to bootstrap from; any of them may be down. */
  readonly seeds: readonly string[]
  /** Maps addresses of endpoints and hosts to those to connect to; empty in production. */
  readonly dial: Readonly<Record<string, string>>
  /** Key that keeps the links between hosts of different deployments apart. */
  readonly clusterKey: string
  readonly bounds: HostBounds
}
