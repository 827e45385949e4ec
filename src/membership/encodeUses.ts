import { encode } from 'cbor-x'
import type { CustomerUse } from '../model/CustomerUse.js'

/** Encodes the usage per customer once; agents forward the bytes without decoding them. */
export function encodeUses (uses: readonly CustomerUse[]): Uint8Array {
  return encode(uses)
}
