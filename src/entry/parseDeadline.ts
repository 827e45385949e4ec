import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { entryLimits } from './entryLimits.js'

/**
 * Reads `Shunt-Deadline-Ms`: remaining time in ms, at most 15 minutes.
 * Failures: `badDeadline`, `deadlineExceeded` when nothing remains.
 */
export function parseDeadline (text: string | undefined, defaultMs: number): Result<number, Failure> {
  if (text === undefined) return ok(Math.min(defaultMs, entryLimits.maxRequestMs))
  if (!/^-?\d{1,12}$/.test(text)) return err(createFailure('badDeadline'))
  const remainingMs = Number(text)
  return remainingMs <= 0 ? err(createFailure('deadlineExceeded')) : ok(Math.min(remainingMs, entryLimits.maxRequestMs))
}
