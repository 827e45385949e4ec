import type { UpstreamCall } from './UpstreamCall.js'
import type { UpstreamRequest } from './UpstreamRequest.js'

/** Sends requests to endpoints and owning hosts without retries, which are decided by the users of the client. */
export abstract class UpstreamClient {
  abstract start (request: UpstreamRequest): UpstreamCall

  /** Closes the pooled connections. */
  abstract close (): void
}
