import { decode } from 'cbor-x'
import { digestSchema } from './digestSchema.js'
import type { CustomerUse } from '../model/CustomerUse.js'

/** Decodes the usage per customer of a report; returns an empty list when the bytes are absent or invalid. */
export function decodeUses (bytes: Uint8Array | undefined): readonly CustomerUse[] {
  if (bytes === undefined) return []
  try {
    const parsed = digestSchema.shape.uses.safeParse(decode(bytes))
    return parsed.success ? parsed.data : []
  } catch {
    return []
  }
}
