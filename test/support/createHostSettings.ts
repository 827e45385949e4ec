import type { HostSettings } from '../../src/host/HostSettings.js'

/** Builds the settings of a host on loopback ports; `change` overrides fields. */
export function createHostSettings (change: Partial<HostSettings> = {}): HostSettings {
  return {
    name: 'host-0',
    zone: 'north-a',
    region: 'north',
    regionOfZone: { 'north-a': 'north' },
    listen: { callers: '127.0.0.1:8548', readiness: '127.0.0.1:8542', directory: '127.0.0.1:8546', peers: '127.0.0.1:7540', metrics: '127.0.0.1:9464' },
    linkMbps: 0,
    isFirstStart: true,
    seeds: [],
    dial: {},
    clusterKey: 'test',
    bounds: { graceMs: 3_000, drainMs: 2_500, configApplyMs: 2_500, retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 64, maxTtlMs: 5_000 },
    ...change
  }
}
