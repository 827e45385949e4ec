import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'

/** A request target, split after the path of the service. */
interface ParsedPath {
  /** First segment, without slashes. */
  readonly servicePath: string
  /** Path after the first segment, without the query; empty or starting with a slash. */
  readonly subpath: string
  /** Query including the question mark, or empty. */
  readonly query: string
}

const maxPathLength = 8_192
const plainPattern = /^\/(?:[\w\-~:@!$&'()*+,;=]+(?:\/[\w\-~:@!$&'()*+,;=]+)*\/?)?$/
const printablePattern = /^[\x21-\x7e]*$/
// Programs decode these escapes at different times, so a path with them is ambiguous.
const ambiguousEscapePattern = /%(?:2f|5c|00|25)/i
const malformedEscapePattern = /%(?![0-9a-f]{2})/i

/** Validates and splits a request target. Failure: `badRequest`. */
export function parsePath (target: string): Result<ParsedPath, Failure> {
  if (target.length > maxPathLength) return refuse('the path is too long')
  const queryStart = target.indexOf('?')
  const path = queryStart < 0 ? target : target.slice(0, queryStart)
  const query = queryStart < 0 ? '' : target.slice(queryStart)
  if (!plainPattern.test(path)) {
    const problem = findProblem(path)
    if (problem !== undefined) return refuse(problem)
  }
  if (!printablePattern.test(query) || query.includes('#')) return refuse('the query has characters that are not allowed')
  const slash = path.indexOf('/', 1)
  return ok(slash < 0
    ? { servicePath: path.slice(1), subpath: '', query }
    : { servicePath: path.slice(1, slash), subpath: path.slice(slash), query })
}

function findProblem (path: string): string | undefined {
  if (!path.startsWith('/')) return 'the request target is not a path'
  if (!printablePattern.test(path) || /[\\#]/.test(path)) return 'the path has characters that are not allowed'
  if (malformedEscapePattern.test(path)) return 'the path has a malformed escape'
  if (ambiguousEscapePattern.test(path)) return 'the path has an escape that is not allowed'
  const decoded = decode(path)
  if (decoded === undefined) return 'the path is not valid UTF-8'
  if (decoded.split('/').some((segment) => segment === '.' || segment === '..')) return 'the path has dot segments'
  if (decoded.includes('//')) return 'the path has an empty segment'
  return undefined
}

function decode (path: string): string | undefined {
  try {
    return decodeURIComponent(path)
  } catch {
    return undefined
  }
}

function refuse (message: string): Result<never, Failure> {
  return err(createFailure('badRequest', { message }))
}
