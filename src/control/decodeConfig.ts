import { inflateRawSync } from 'node:zlib'
import type { HeldConfig } from './HeldConfig.js'

const maxOutputLength = 67_108_864
const listFields = ['zones', 'hosts', 'services', 'endpoints', 'links', 'contracts', 'drains', 'priorCaps']

/**
 * Decodes a configuration from another agent's frame; returns undefined when the data is corrupt or not a configuration. Only
 * the top-level structure is checked, since the agent that wrote or read the document has validated it with `configDocSchema`.
 */
export function decodeConfig (data: unknown): HeldConfig | undefined {
  if (!(data instanceof Uint8Array)) return undefined
  try {
    const held: unknown = JSON.parse(inflateRawSync(data, { maxOutputLength }).toString('utf8'))
    return isHeldConfig(held) ? held : undefined
  } catch {
    return undefined
  }
}

function isHeldConfig (value: unknown): value is HeldConfig {
  if (!isRecord(value) || typeof value.writeId !== 'string' || !isRecord(value.doc)) return false
  const { doc } = value
  return typeof doc.lineage === 'string' && Number.isInteger(doc.version) && isRecord(doc.objective) && listFields.every((list) => Array.isArray(doc[list]))
}

function isRecord (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null
}
