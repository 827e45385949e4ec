import { err, ok, type Result } from 'neverthrow'
import type { z } from 'zod'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { Outcome } from '../common/Outcome.js'
import type { claimMessages } from './claimMessages.js'
import type { StoredAnswer } from './StoredAnswer.js'

type Decision = z.infer<typeof claimMessages.decision>

/** Converts a home's final decision into the result of a claim. */
export function toClaimResult (decision: Decision): Result<{ kind: 'done', answer: StoredAnswer }, Failure> {
  const { unknown } = Outcome
  if (decision.kind === 'done' && decision.answer !== undefined) return ok({ kind: 'done', answer: decision.answer })
  if (decision.kind === 'done') {
    return err(createFailure('keyUnknown', { outcome: unknown, message: 'the request with this key has run, but its answer is not stored' }))
  }
  if (decision.kind === 'mismatch') return err(createFailure('keyMismatch', { outcome: unknown }))
  // The home has complete records and no room for another key, so the request with this key has certainly not run.
  if (decision.kind === 'full') return err(createFailure('shed', { message: 'the home of this key has no room for more keys', retryAfterMs: 10_000 }))
  if (decision.kind === 'notHome' || decision.kind === 'stopping') {
    return err(createFailure('keyHomeUnreachable', { outcome: unknown, retryAfterMs: 1_000 }))
  }
  return err(createFailure('keyUnknown', { outcome: unknown }))
}
