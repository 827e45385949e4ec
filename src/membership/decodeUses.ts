import { decode } from 'cbor-x'
import { digestSchema } from './digestSchema.js'
import type { CustomerUse } from '../model/CustomerUse.js'

/** Decodes the use per customer of a report; empty when there is none or it is damaged. */
export function decodeUses (bytes: Uint8Array | undefined): readonly CustomerUse[] {
  if (bytes === undefined) return []
  try {
    const parsed = digestSchema.shape.uses.safeParse(decode(bytes))
    return parsed.success ? parsed.data : []
  } catch {
    return []
  }
}
