import type { z } from 'zod'
import type { ConfigIssue } from './ConfigIssue.js'
import { findNearestName } from './findNearestName.js'
import { listKnownKeys } from './listKnownKeys.js'

/** Converts the issues of a schema error into issues with readable messages, one for each unknown key. */
export function listSchemaIssues (schema: z.ZodType, error: z.ZodError): ConfigIssue[] {
  return error.issues.flatMap((issue) => {
    const keys = issue.path.map((key) => typeof key === 'symbol' ? String(key) : key)
    if (issue.code === 'unrecognized_keys') return issue.keys.map((key) => describeUnknownKey(schema, keys, key))
    if (issue.code === 'invalid_key') return [{ keys, message: issue.issues[0]?.message ?? issue.message }]
    if (issue.code === 'invalid_type' && issue.message.endsWith('received undefined')) return [{ keys, message: 'is missing' }]
    return [{ keys, message: issue.message }]
  })
}

function describeUnknownKey (schema: z.ZodType, keys: readonly (string | number)[], key: string): ConfigIssue {
  const known = listKnownKeys(schema, keys)
  const nearest = findNearestName(key, known)
  const hint = nearest === undefined ? `; known keys are ${known.join(', ')}` : `; did you mean "${nearest}"?`
  return { keys: [...keys, key], message: `the key is not known${hint}` }
}
