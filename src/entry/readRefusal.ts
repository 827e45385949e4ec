import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { Outcome } from '../common/Outcome.js'
import { resultCodes } from '../common/resultCodes.js'
import type { ResultName } from '../common/ResultName.js'
import { findHeader } from './findHeader.js'
import type { UpstreamResponse } from './UpstreamResponse.js'

const namesByCode = new Map(Object.entries(resultCodes).map(([name, row]) => [String(row.code), name as ResultName]))

/** Returns the failure reported by another entry host, or undefined if the response comes from an endpoint. */
export function readRefusal (response: UpstreamResponse): Failure | undefined {
  const code = findHeader(response.headers, 'shunt-code')
  if (code === undefined) return undefined
  const outcome = findHeader(response.headers, 'shunt-outcome') === Outcome.notRun ? Outcome.notRun : Outcome.unknown
  const seconds = Number(findHeader(response.headers, 'retry-after') ?? Number.NaN)
  const options = Number.isFinite(seconds) ? { outcome, retryAfterMs: seconds * 1_000 } : { outcome }
  return createFailure(namesByCode.get(code) ?? 'internal', options)
}
