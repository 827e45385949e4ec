import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { areHeadersValid } from './areHeadersValid.js'

const targetPattern = /^[\x21-\x7e]+$/

/**
 * Refuses a request whose target or headers violate RFC 9112. The parser of Node.js accepts some of these, but its client
 * throws when it is to send them. Failure: `badRequest`.
 */
export function checkRequestSyntax ({ url, rawHeaders }: Pick<IncomingMessage, 'url' | 'rawHeaders'>): Result<void, Failure> {
  if (!targetPattern.test(url ?? '')) return err(createFailure('badRequest', { message: 'The request target has a character that is not allowed.' }))
  if (!areHeadersValid(rawHeaders)) return err(createFailure('badRequest', { message: 'A header has a character that is not allowed.' }))
  return ok(undefined)
}
