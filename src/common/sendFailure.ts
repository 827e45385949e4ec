import type { ServerResponse } from 'node:http'
import type { Failure } from './Failure.js'
import { resultCodes } from './resultCodes.js'
import { sendJson } from './sendJson.js'

/** Sends a failure as specified in design 6.1, with the same information in headers and JSON body. */
export function sendFailure (res: ServerResponse, failure: Failure, requestId: string): void {
  const { name, outcome, message, retryAfterMs } = failure
  const { code, status } = resultCodes[name]
  const headers = {
    'Shunt-Request-Id': requestId,
    'Shunt-Code': String(code),
    'Shunt-Outcome': outcome,
    ...(retryAfterMs === undefined ? {} : { 'Retry-After': String(Math.ceil(retryAfterMs / 1_000)) })
  }
  sendJson(res, status, { code, name, outcome, message, retryAfterMs, requestId }, headers)
}
