import { isUtf8 } from 'node:buffer'
import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { RequestHeaders } from './RequestHeaders.js'

const maxHeaders = 200
const maxContentLength = 2 ** 40
const keyPattern = /^[\x21-\x7e]{1,200}$/
const highByte = /[\x80-\xff]/

/** Headers that may occur only once, since programs differ in which of two values they use. */
const singleHeaders = new Set(['authorization', 'content-length', 'transfer-encoding', 'host', 'idempotency-key', 'expect', 'content-type'])

/** Headers that are not forwarded: they are hop-by-hop or set for each attempt. */
const droppedHeaders = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authorization', 'te', 'trailer', 'upgrade',
  'expect', 'host', 'authorization', 'content-length', 'transfer-encoding'
])

/** Headers that this function evaluates. */
const readHeaders = new Set(['authorization', 'content-length', 'transfer-encoding', 'host', 'idempotency-key', 'expect', 'connection'])

/**
 * Validates the headers of a request and separates those to evaluate from those to forward.
 * Failures: `badRequest`, `headersTooLarge` for too many headers, `badIdempotencyKey`, `badDeadline` for two deadlines.
 */
export function readRequestHeaders (req: IncomingMessage): Result<RequestHeaders, Failure> {
  const rawHeaders = req.rawHeaders
  if (rawHeaders.length > maxHeaders * 2) return err(createFailure('headersTooLarge', { message: `more than ${maxHeaders} headers` }))
  const values = new Map<string, string>()
  const shunt = new Map<string, string>()
  const forwarded: string[] = []
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase()
    const value = rawHeaders[index + 1]!
    if (highByte.test(value) && !isUtf8(Buffer.from(value, 'latin1'))) return refuse(`header "${name}" is not valid UTF-8`)
    if (name.startsWith('shunt-')) {
      if (shunt.has(name)) return name === 'shunt-deadline-ms' ? err(createFailure('badDeadline')) : refuse(`header "${name}" occurs more than once`)
      shunt.set(name, value)
      continue
    }
    if (singleHeaders.has(name)) {
      if (values.has(name)) return refuseRepeatedHeader(name)
      values.set(name, value)
    } else if (readHeaders.has(name)) {
      values.set(name, value)
    }
    if (!droppedHeaders.has(name)) forwarded.push(rawHeaders[index]!, value)
  }
  return createHeaders(req, values, shunt, forwarded)
}

function createHeaders (
  req: IncomingMessage, values: Map<string, string>, shunt: Map<string, string>, forwarded: string[]
): Result<RequestHeaders, Failure> {
  if (req.httpVersionMinor === 1 && !values.has('host')) return refuse('header "host" is missing')
  const idempotencyKey = values.get('idempotency-key')
  if (idempotencyKey !== undefined && !keyPattern.test(idempotencyKey)) return err(createFailure('badIdempotencyKey'))
  const transferEncoding = values.get('transfer-encoding')
  const length = values.get('content-length')
  if (transferEncoding !== undefined && transferEncoding.toLowerCase() !== 'chunked') return refuse('only the transfer encoding "chunked" is supported')
  if (transferEncoding !== undefined && length !== undefined) return refuse('the body is chunked and has a length')
  if (length !== undefined && (!/^\d{1,15}$/.test(length) || Number(length) > maxContentLength)) return refuse('the body length is malformed')
  const contentLength = transferEncoding === undefined ? Number(length ?? 0) : undefined
  const expectsContinue = values.get('expect')?.toLowerCase() === '100-continue'
  const kept = dropConnectionHeaders(forwarded, values.get('connection'))
  return ok({ authorization: values.get('authorization'), idempotencyKey, contentLength, expectsContinue, shunt, forwarded: kept })
}

/** Removes the headers that are listed in `Connection`. */
function dropConnectionHeaders (passed: string[], connection: string | undefined): string[] {
  if (connection === undefined || connection === 'keep-alive' || connection === 'close') return passed
  const named = new Set(connection.toLowerCase().split(',').map((name) => name.trim()))
  // The key prevents a second execution, so it is forwarded even if `Connection` lists it.
  named.delete('idempotency-key')
  const kept: string[] = []
  for (let index = 0; index < passed.length; index += 2) {
    if (!named.has(passed[index]!.toLowerCase())) kept.push(passed[index]!, passed[index + 1]!)
  }
  return kept
}

function refuseRepeatedHeader (name: string): Result<never, Failure> {
  return name === 'idempotency-key'
    ? err(createFailure('badIdempotencyKey', { message: 'The idempotency key occurs more than once.' }))
    : refuse(`header "${name}" occurs more than once`)
}

function refuse (message: string): Result<never, Failure> {
  return err(createFailure('badRequest', { message }))
}
