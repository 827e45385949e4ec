import type { IncomingMessage } from 'node:http'
import { areHeadersValid } from './areHeadersValid.js'
import { needsNoDecoding } from './needsNoDecoding.js'

const minFinalStatus = 200
const maxStatus = 599

/** Returns true when a final response's head can be passed on. The parser of Node.js accepts heads that its server refuses to write. */
export function isResponseHeadValid ({ statusCode, rawHeaders }: Pick<IncomingMessage, 'statusCode' | 'rawHeaders'>): boolean {
  const status = statusCode ?? 0
  return status >= minFinalStatus && status <= maxStatus && areHeadersValid(rawHeaders) && needsNoDecoding(rawHeaders)
}
