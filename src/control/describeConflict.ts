import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { HeadLogEntry } from './HeadLogEntry.js'

/** Returns the failure for an item whose version is not the expected one; names its last change if the log still contains it. */
export function describeConflict (item: string, versions: { expected: number, actual: number }, log: readonly HeadLogEntry[]): Failure {
  const last = log.findLast(({ change }) => change.startsWith(`${item}:`))
  const cause = last === undefined
    ? 'the change is no longer in the log'
    : `operator "${last.by}" made the change "${last.change}" in configuration version ${last.version}`
  const message = `${item} has version ${versions.actual}, not ${versions.expected}: ${cause}. Read it again and repeat the change on the new version.`
  return createFailure('contractConflict', { message })
}
