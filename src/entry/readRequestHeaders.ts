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

/** Headers that may come only once, since two values could be read differently by two programs. */
const singleHeaders = new Set(['authorization', 'content-length', 'transfer-encoding', 'host', 'idempotency-key', 'expect', 'content-type'])

/** Headers that belong to one connection or are written anew for each attempt. */
const droppedHeaders = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authorization', 'te', 'trailer', 'upgrade',
  'expect', 'host', 'authorization', 'content-length', 'transfer-encoding'
])

/** Headers that are read here. */
const readHeaders = new Set(['authorization', 'content-length', 'transfer-encoding', 'host', 'idempotency-key', 'expect', 'connection'])

/**
 * Checks the headers of a request and splits them.
 * Failures: `badRequest`, `headersTooLarge` for too many headers, `badIdempotencyKey`, `badDeadline` for two deadlines.
 */
export function readRequestHeaders (req: IncomingMessage): Result<RequestHeaders, Failure> {
  const raw = req.rawHeaders
  if (raw.length > maxHeaders * 2) return err(createFailure('headersTooLarge', { message: `more than ${maxHeaders} headers` }))
  const values = new Map<string, string>()
  const shunt = new Map<string, string>()
  const forwarded: string[] = []
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index]!.toLowerCase()
    const value = raw[index + 1]!
    if (highByte.test(value) && !isUtf8(Buffer.from(value, 'latin1'))) return refuse(`header "${name}" is not valid UTF-8`)
    if (name.startsWith('shunt-')) {
      if (shunt.has(name)) return name === 'shunt-deadline-ms' ? err(createFailure('badDeadline')) : refuse(`header "${name}" came twice`)
      shunt.set(name, value)
      continue
    }
    if (singleHeaders.has(name)) {
      if (values.has(name)) return refuseRepeated(name)
      values.set(name, value)
    } else if (readHeaders.has(name)) {
      values.set(name, value)
    }
    if (!droppedHeaders.has(name)) forwarded.push(raw[index]!, value)
  }
  return createHeaders(req, values, shunt, forwarded)
}

function createHeaders (req: IncomingMessage, values: Map<string, string>, shunt: Map<string, string>, forwarded: string[]): Result<RequestHeaders, Failure> {
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

/** Leaves out the headers that `Connection` names. */
function dropConnectionHeaders (passed: string[], connection: string | undefined): string[] {
  if (connection === undefined || connection === 'keep-alive' || connection === 'close') return passed
  const named = new Set(connection.toLowerCase().split(',').map((name) => name.trim()))
  // The key decides whether work may run twice, so it is passed on whatever `Connection` says.
  named.delete('idempotency-key')
  const kept: string[] = []
  for (let index = 0; index < passed.length; index += 2) {
    if (!named.has(passed[index]!.toLowerCase())) kept.push(passed[index]!, passed[index + 1]!)
  }
  return kept
}

function refuseRepeated (name: string): Result<never, Failure> {
  return name === 'idempotency-key' ? err(createFailure('badIdempotencyKey', { message: 'The idempotency key came twice.' })) : refuse(`header "${name}" came twice`)
}

function refuse (message: string): Result<never, Failure> {
  return err(createFailure('badRequest', { message }))
}
