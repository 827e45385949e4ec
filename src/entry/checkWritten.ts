import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { Outcome } from '../common/Outcome.js'
import type { PipelinedResponse } from './PipelinedResponse.js'
import type { RequestScope } from './RequestScope.js'

/**
 * Checks that the head of a response has been written, or its caller has left. Otherwise the response failed before its turn, and the
 * returned failure takes its place, so that the responses behind it are not lost.
 */
export function checkWritten (res: PipelinedResponse, scope: RequestScope): Result<void, Failure> {
  if (res.headersSent || res.destroyed || res.req.socket.destroyed) return ok()
  return err(createFailure(scope.reason === 'deadline' ? 'upstreamTimeout' : 'upstreamTruncated', { outcome: Outcome.unknown }))
}
