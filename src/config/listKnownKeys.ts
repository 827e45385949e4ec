import { z } from 'zod'

/** Returns the keys that the schema allows in the object at `keys`; empty when there is no such object. */
export function listKnownKeys (schema: z.ZodType, keys: readonly PropertyKey[]): string[] {
  const target = keys.reduce<z.ZodType | undefined>((current, key) => current && stepInto(current, key), schema)
  const object = target && unwrap(target)
  return object instanceof z.ZodObject ? Object.keys(object.shape) : []
}

function stepInto (schema: z.ZodType, key: PropertyKey): z.ZodType | undefined {
  const inner = unwrap(schema)
  if (inner instanceof z.ZodObject) return (inner.shape as Record<PropertyKey, z.ZodType>)[key]
  if (inner instanceof z.ZodArray) return inner.element as z.ZodType
  return undefined
}

/** Removes `optional`, `default` and `prefault`. */
function unwrap (schema: z.ZodType): z.ZodType {
  const wraps = schema instanceof z.ZodOptional || schema instanceof z.ZodDefault || schema instanceof z.ZodPrefault
  return wraps ? unwrap(schema.unwrap() as z.ZodType) : schema
}
