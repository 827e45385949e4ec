import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { HeadLogEntry } from './HeadLogEntry.js'

/** Builds the conflict of an item whose version moved; names the last change of the item when the log still has it. */
export function describeConflict (item: string, versions: { expected: number, actual: number }, log: readonly HeadLogEntry[]): Failure {
  const last = log.findLast(({ change }) => change.startsWith(`${item}:`))
  const cause = last === undefined
    ? 'the change is no longer in the log'
    : `operator "${last.by}" made the change "${last.change}" in configuration version ${last.version}`
  const message = `${item} has version ${versions.actual}, not ${versions.expected}: ${cause}. Read it again and repeat the change on the new version.`
  return createFailure('contractConflict', { message })
}
