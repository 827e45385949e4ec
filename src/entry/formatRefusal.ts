import type { Failure } from '../common/Failure.js'
import { Outcome } from '../common/Outcome.js'
import { resultCodes } from '../common/resultCodes.js'

/** A formatted refusal. */
interface FormattedRefusal {
  readonly status: number
  /** Names and values in turn. */
  readonly headers: string[]
  readonly body: string
}

/** Statuses of refusals that are temporary, so that a retry may succeed. */
const retryStatuses = new Set([429, 502, 503, 504])
const defaultRetryAfterMs = 1_000

/** Formats a failure as a response to the caller: headers, and a JSON body with the same content. */
export function formatRefusal (failure: Failure, requestId: string, formatRetryAfter = formatWholeSeconds): FormattedRefusal {
  const { code, status } = resultCodes[failure.name]
  const mayRetry = failure.outcome === Outcome.notRun && retryStatuses.has(status)
  const retryAfterMs = failure.retryAfterMs ?? (mayRetry ? defaultRetryAfterMs : undefined)
  const body = JSON.stringify({ code, name: failure.name, outcome: failure.outcome, message: failure.message, retryAfterMs, requestId })
  const headers = [
    'Content-Type', 'application/json',
    'Content-Length', String(Buffer.byteLength(body)),
    'Shunt-Request-Id', requestId,
    'Shunt-Code', String(code),
    'Shunt-Outcome', failure.outcome
  ]
  if (retryAfterMs !== undefined) headers.push('Retry-After', formatRetryAfter(retryAfterMs))
  return { status, headers, body }
}

function formatWholeSeconds (ms: number): string {
  return String(Math.max(1, Math.ceil(ms / 1_000)))
}
