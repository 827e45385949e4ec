import type { ConfigIssue } from './ConfigIssue.js'
import { findNearestName } from './findNearestName.js'

/** Reports `value` when it is a string that is not among the known names; `what` names their kind. */
export function findUnknownReference (what: string, keys: readonly (string | number)[], value: unknown, known: ReadonlySet<string>): ConfigIssue[] {
  if (typeof value !== 'string' || known.has(value)) return []
  const nearest = findNearestName(value, [...known])
  const hint = nearest === undefined ? '' : `; did you mean "${nearest}"?`
  return [{ keys, message: `${what} "${value}" does not exist${hint}` }]
}
