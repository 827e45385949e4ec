import type { Contract } from '../../src/model/Contract.js'

/** Returns a contract with the given changes. */
export function sampleContract (changes: Partial<Contract> = {}): Contract {
  return {
    customer: 'gyms',
    version: 0,
    credentialHashes: ['0'.repeat(64)],
    services: ['stock'],
    rate: 70,
    burst: 7,
    concurrency: 14,
    uploadBytesPerSecond: 7_000,
    regionShare: 1,
    moveStep: 0.5,
    priority: 1,
    ...changes
  }
}
