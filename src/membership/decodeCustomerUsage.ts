import { decode } from 'cbor-x'
import { digestSchema } from './digestSchema.js'
import type { CustomerUsage } from '../model/CustomerUsage.js'

/** Decodes the usage per customer of a report; returns an empty list when the bytes are absent or invalid. */
export function decodeCustomerUsage (bytes: Uint8Array | undefined): readonly CustomerUsage[] {
  if (bytes === undefined) return []
  try {
    const parsed = digestSchema.shape.uses.safeParse(decode(bytes))
    return parsed.success ? parsed.data : []
  } catch {
    return []
  }
}
