import type { IncomingMessage } from 'node:http'

/** An answer of an endpoint or owning host. */
export interface UpstreamAnswer {
  readonly status: number
  /** Names and values in turn, as they came. */
  readonly headers: readonly string[]
  /** The whole body, or its first part when `rest` is given. */
  readonly body: Buffer
  /** The paused remainder of a body that is too long to be held. */
  readonly rest: IncomingMessage | undefined
}
