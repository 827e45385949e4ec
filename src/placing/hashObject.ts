import { createHash } from 'node:crypto'

const hashBytes = 16

/**
 * Returns a name of fixed length for an object. Affinity keys are as long as callers make them, and names of objects are kept in
 * tables whose number of entries is bounded. With 2^40 objects, two share their name with a probability below 1 in 10^14; such
 * objects share their endpoints.
 */
export function hashObject (affinityKey: string): string {
  return createHash('sha1').update(affinityKey).digest().toString('base64url', 0, hashBytes)
}
