import type { IncomingMessage } from 'node:http'

/** A response of an endpoint or owning host. */
export interface UpstreamResponse {
  readonly status: number
  /** Names and values in turn, as received. */
  readonly headers: readonly string[]
  /** The complete body, or its first bytes if the remaining bytes are streamed. */
  readonly body: Buffer
  /** The paused stream of the remaining bytes of a body that is too long to be buffered. */
  readonly stream: IncomingMessage | undefined
}
