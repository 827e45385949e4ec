import { z } from 'zod'

/** Returns the keys that the schema allows in the object at `keys`; empty when the schema has no object there. */
export function listKnownKeys (schema: z.ZodType, keys: readonly PropertyKey[]): string[] {
  const target = keys.reduce<z.ZodType | undefined>((current, key) => current && getChildSchema(current, key), schema)
  const object = target && unwrap(target)
  return object instanceof z.ZodObject ? Object.keys(object.shape) : []
}

function getChildSchema (schema: z.ZodType, key: PropertyKey): z.ZodType | undefined {
  const inner = unwrap(schema)
  if (inner instanceof z.ZodObject) return (inner.shape as Record<PropertyKey, z.ZodType>)[key]
  if (inner instanceof z.ZodArray) return inner.element as z.ZodType
  return undefined
}

/** Returns the schema inside `optional`, `default` and `prefault`. */
function unwrap (schema: z.ZodType): z.ZodType {
  const wraps = schema instanceof z.ZodOptional || schema instanceof z.ZodDefault || schema instanceof z.ZodPrefault
  return wraps ? unwrap(schema.unwrap() as z.ZodType) : schema
}
