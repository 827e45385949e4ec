import { createHash } from 'node:crypto'

const scoreBytes = 6

/** Returns the score of `node` for `key` in rendezvous hashing, an integer below 2^48. */
export function hashRendezvous (key: string, node: string): number {
  return createHash('sha1').update(`${key.length}:${key}${node}`).digest().readUIntBE(0, scoreBytes)
}
