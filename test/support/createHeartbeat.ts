import type { Heartbeat } from '../../src/peers/Heartbeat.js'

/** Builds a heartbeat of a ready host in region `north` without loads, demands or pages; `change` overrides fields. */
export function createHeartbeat (name: string, incarnation: number, change: Partial<Heartbeat> = {}): Heartbeat {
  return {
    host: { name, zone: 'north-a', region: 'north', callerAddress: '10.0.0.1:1', peerAddress: '10.0.0.1:2', linkMbps: 0, incarnation },
    isReady: true,
    isLeaving: false,
    storeAgeMs: 0,
    tableAges: { orders: 0, endpoints: 0, hosts: 0 },
    isStoreSettled: true,
    versions: { orders: 1, endpoints: 1, hosts: 1 },
    eras: { orders: 1, endpoints: 1, hosts: 1 },
    loads: [],
    breaks: [],
    rateLimits: [],
    backoffs: [],
    demands: [],
    localShares: [],
    pages: [],
    ...change
  }
}
