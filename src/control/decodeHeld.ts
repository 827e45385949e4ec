import { inflateRawSync } from 'node:zlib'
import { z } from 'zod'
import { configDocSchema } from './configDocSchema.js'
import type { HeldConfig } from './HeldConfig.js'

const heldSchema = z.object({ doc: configDocSchema, writeId: z.string().min(1).max(64) })
const maxOutputLength = 67_108_864

/** Reads a configuration from a frame; undefined when it is damaged or not a configuration. */
export function decodeHeld (data: unknown): HeldConfig | undefined {
  if (!(data instanceof Uint8Array)) return undefined
  try {
    const parsed = heldSchema.safeParse(JSON.parse(inflateRawSync(data, { maxOutputLength }).toString('utf8')))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}
