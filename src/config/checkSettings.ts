import type { ConfigIssue } from './ConfigIssue.js'
import { defaultPorts } from './defaultPorts.js'
import { findDuplicates } from './findDuplicates.js'
import { listRows } from './listRows.js'

/** Checks a settings document, which may be invalid, for duplicate operators, credentials and ports. */
export function checkSettings (value: unknown): ConfigIssue[] {
  const operators = listRows(value, 'operators')
  return [
    ...findDuplicates('operator', operators.map(({ keys, fields }) => ({ keys: [...keys, 'name'], value: fields.name }))),
    ...findDuplicates('credential', operators.map(({ keys, fields }) => ({ keys: [...keys, 'credentialHash'], value: fields.credentialHash }))),
    ...checkPorts(value)
  ]
}

function checkPorts (value: unknown): ConfigIssue[] {
  const ports = (value as { ports?: Record<string, unknown> | null } | null)?.ports ?? {}
  return findDuplicates('port', Object.entries(defaultPorts).map(([key, port]) => ({ keys: ['ports', key], value: ports[key] ?? port })))
}
