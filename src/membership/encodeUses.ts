import { encode } from 'cbor-x'
import type { CustomerUse } from '../model/CustomerUse.js'

/** Encodes the use per customer once, so that agents pass it on as bytes. */
export function encodeUses (uses: readonly CustomerUse[]): Uint8Array {
  return encode(uses)
}
