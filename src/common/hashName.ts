import { createHash } from 'node:crypto'

/** A 32-bit hash of a name, the same in every process. */
export function hashName (name: string): number {
  return createHash('sha1').update(name).digest().readUInt32BE(0)
}
