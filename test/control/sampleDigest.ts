import type { Digest } from '../../src/model/Digest.js'

/** Returns a digest of a serving host with the given changes. */
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
