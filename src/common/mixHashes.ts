/** Constants of the golden ratio and of the finalizer of MurmurHash3. */
const goldenRatio = 0x9E3779B1
const firstFactor = 0x85EBCA6B
const secondFactor = 0xC2B2AE35

/**
 * Combines two 32-bit hashes into one, so that each `a` ranks the values of `b` differently, as rendezvous hashing requires.
 * Much cheaper than hashing both names together, which matters when hundreds of nodes are ranked for each key.
 */
export function mixHashes (a: number, b: number): number {
  let mixed = Math.imul(a, goldenRatio) ^ b
  mixed = Math.imul(mixed ^ (mixed >>> 16), firstFactor)
  mixed = Math.imul(mixed ^ (mixed >>> 13), secondFactor)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
