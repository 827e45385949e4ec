import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { entryLimits } from './entryLimits.js'

/**
 * Parses `Shunt-Deadline-Ms` and returns the remaining time in ms, limited to 15 minutes.
 * Failures: `badDeadline`, `deadlineExceeded` if no time remains.
 */
export function parseDeadline (text: string | undefined, defaultMs: number): Result<number, Failure> {
  if (text === undefined) return ok(Math.min(defaultMs, entryLimits.maxRequestMs))
  if (!/^-?\d{1,12}$/.test(text)) return err(createFailure('badDeadline'))
  const remainingMs = Number(text)
  return remainingMs <= 0 ? err(createFailure('deadlineExceeded')) : ok(Math.min(remainingMs, entryLimits.maxRequestMs))
}
