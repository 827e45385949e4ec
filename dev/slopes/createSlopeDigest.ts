import type { Digest } from '../../src/model/Digest.js'

const serviceCount = 3

/** Creates the digest of a host with `customers` active customers; its figures vary with `seq`. */
export function createSlopeDigest (host: string, seq: number, customers: number): Digest {
  return {
    host,
    entryIncarnation: 1_700_000_000_000,
    seq,
    appliedVersion: 1,
    serving: true,
    leaving: false,
    inFlight: seq % 50,
    loads: Array.from({ length: serviceCount }, (_, index) => ({ service: `service-${index}`, slots: 20, used: (seq + index) % 20, queued: seq % 3, serviceMs: 40.5 })),
    leavingEndpoints: [],
    drainInFlight: {},
    uses: Array.from({ length: customers }, (_, index) => ({ customer: `customer-${index}`, inFlight: (seq + index) % 7, rate: 12.5 + seq % 5, rateHeld: 20, permitsHeld: 6 }))
  }
}
