import { inflateRawSync } from 'node:zlib'
import type { HeldConfig } from './HeldConfig.js'

const maxOutputLength = 67_108_864
const listFields = ['zones', 'hosts', 'services', 'endpoints', 'links', 'contracts', 'drains', 'priorCaps']

/**
 * Reads a configuration from another agent's frame; undefined when it is damaged or not a configuration. The agent that
 * wrote or read it has validated it with `configDocSchema`, so only the outline is checked again.
 */
export function decodeHeld (data: unknown): HeldConfig | undefined {
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
