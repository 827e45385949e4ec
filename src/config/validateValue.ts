import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { z } from 'zod'
import type { ConfigIssue } from './ConfigIssue.js'
import { listSchemaIssues } from './listSchemaIssues.js'

/** Validates a value against a schema and a consistency check; fails with the issues of both. */
export function validateValue<T> (schema: z.ZodType<T>, check: (value: unknown) => ConfigIssue[], value: unknown): Result<T, ConfigIssue[]> {
  const parsed = schema.safeParse(value)
  const issues = [...(parsed.success ? [] : listSchemaIssues(schema, parsed.error)), ...check(value)]
  return parsed.success && issues.length === 0 ? ok(parsed.data) : err(issues)
}
