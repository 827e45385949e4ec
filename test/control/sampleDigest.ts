import type { Digest } from '../../src/model/Digest.js'

/** A digest of a host that serves. */
export function sampleDigest (host: string, changes: Partial<Digest> = {}): Digest {
  return {
    host,
    entryIncarnation: 1,
    seq: 1,
    appliedVersion: 1,
    serving: true,
    leaving: false,
    inFlight: 0,
    loads: [],
    leavingEndpoints: [],
    drainInFlight: {},
    uses: [],
    ...changes
  }
}
