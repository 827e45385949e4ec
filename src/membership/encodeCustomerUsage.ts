import { encode } from 'cbor-x'
import type { CustomerUsage } from '../model/CustomerUsage.js'

/** Encodes the usage per customer once; agents forward the bytes without decoding them. */
export function encodeCustomerUsage (uses: readonly CustomerUsage[]): Uint8Array {
  return encode(uses)
}
