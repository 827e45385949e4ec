import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { ZodType } from 'zod'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'

/** Parses and validates a JSON answer of the platform; `failure` says what an unusable answer means for the call. */
export function parseReply<T> (schema: ZodType<T>, body: Buffer, failure: Pick<Failure, 'name' | 'outcome'>): Result<T, Failure> {
  const reject = (detail: string): Result<T, Failure> =>
    err(createFailure(failure.name, { outcome: failure.outcome, message: `the platform's answer is unusable: ${detail}` }))
  try {
    const parsed = schema.safeParse(JSON.parse(body.toString('utf8')))
    return parsed.success ? ok(parsed.data) : reject(parsed.error.issues[0]?.message ?? 'wrong shape')
  } catch {
    return reject('not JSON')
  }
}
