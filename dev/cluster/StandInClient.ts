import { callControl } from '../common/callControl.js'
import type { LinkFaults } from '../proxy/LinkFaults.js'
import type { ProxyCounts } from '../proxy/ProxyCounts.js'
import type { LinkSelection } from '../proxy/LinkSelection.js'
import type { EndpointFaults } from '../upstream/EndpointFaults.js'
import type { TruthReport } from '../upstream/TruthReport.js'

/** Selects endpoints; all given fields must match. */
interface EndpointSelection {
  readonly endpoint?: string
  readonly zone?: string
  readonly region?: string
  readonly service?: string
}

/** Faults that can be injected into the platform. */
interface PlatformFaultOptions {
  readonly mode?: 'up' | 'refuse' | 'hang'
  readonly delayMs?: number
  readonly loseAnswers?: number
}

/** Client of the control interfaces of a cluster's stand-ins and proxy. */
export class StandInClient {
  /** Each address is `a.b.c.d:port`. */
  constructor (private readonly addresses: { readonly platform: string, readonly upstreams: string, readonly proxy: string }) {}

  async setEndpointFaults (select: EndpointSelection, faults: Partial<EndpointFaults>): Promise<void> {
    await callControl(this.addresses.upstreams, 'fault', { select, faults })
  }

  /** Reports an announced drain to the upstream stand-in, which counts the new work that arrives too late after that. */
  async markDrain (select: EndpointSelection, atMs = Date.now()): Promise<void> {
    await callControl(this.addresses.upstreams, 'markDrain', { select, atMs })
  }

  async clearDrain (select: EndpointSelection): Promise<void> {
    await callControl(this.addresses.upstreams, 'clearDrain', { select })
  }

  async readTruth (): Promise<TruthReport> {
    return await callControl<TruthReport>(this.addresses.upstreams, 'truth')
  }

  /** Returns the number of runs per idempotency key (`<customer> <key>`) and per request id. */
  async readRuns (keys: readonly string[], requestIds: readonly string[]): Promise<{ keys: number[], requestIds: number[] }> {
    return await callControl(this.addresses.upstreams, 'runs', { keys, requestIds })
  }

  async setPlatformFaults (faults: PlatformFaultOptions): Promise<void> {
    await callControl(this.addresses.platform, 'fault', faults)
  }

  /** Undoes the platform's last `count` writes. */
  async rollBackPlatform (count: number): Promise<void> {
    await callControl(this.addresses.platform, 'rollback', { count })
  }

  /** Changes the entry of an upstream in the platform's registry. */
  async setRegisteredUpstream (name: string, state: 'ready' | 'draining'): Promise<void> {
    await callControl(this.addresses.platform, 'upstream', { name, state })
  }

  async readPlatformCounts (): Promise<Record<string, number>> {
    return await callControl<Record<string, number>>(this.addresses.platform, 'counts')
  }

  async setLinkFaults (selects: readonly LinkSelection[], faults: Partial<LinkFaults>): Promise<number> {
    return (await callControl<{ links: number }>(this.addresses.proxy, 'fault', { selects, faults })).links
  }

  async healLinks (): Promise<void> {
    await callControl(this.addresses.proxy, 'heal')
  }

  async setBandwidth (group: string, bytesPerSecond: number): Promise<void> {
    await callControl(this.addresses.proxy, 'bandwidth', { group, bytesPerSecond })
  }

  async readProxyCounts (): Promise<ProxyCounts> {
    return await callControl(this.addresses.proxy, 'counts')
  }
}
