import type { IncomingMessage } from 'node:http'
import type { PipelinedResponse } from './PipelinedResponse.js'

/** A request whose head has been read, with its response. */
export interface ArrivedRequest {
  readonly req: IncomingMessage
  readonly res: PipelinedResponse
  /** Describes the `Expect` header. */
  readonly expectation: 'none' | 'continue' | 'other'
}
