import type { ConfigIssue } from './ConfigIssue.js'
import type { ConfigProblem } from './ConfigProblem.js'
import { formatKeyPath } from './formatKeyPath.js'

/** Converts issues to problems without file positions. */
export function toProblems (issues: readonly ConfigIssue[]): ConfigProblem[] {
  return issues.map(({ keys, message }) => ({ path: formatKeyPath(keys), message }))
}
