import type { ConfigRow } from './ConfigRow.js'

/**
 * Returns the objects in the array at `key` of `parent`; empty when there is no such array.
 * The rows may be invalid: relations are checked in spite of schema errors, so that all problems are reported at once.
 */
export function listRows (parent: unknown, key: string, parentKeys: readonly (string | number)[] = []): ConfigRow[] {
  const list = isObject(parent) ? parent[key] : undefined
  if (!Array.isArray(list)) return []
  return list.flatMap((fields: unknown, index) => isObject(fields) ? [{ keys: [...parentKeys, key, index], fields }] : [])
}

function isObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
