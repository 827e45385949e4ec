import type { UpstreamCall } from './UpstreamCall.js'
import type { UpstreamRequest } from './UpstreamRequest.js'

/** Sends single requests to endpoints and owning hosts. It makes one attempt; retries are decided above it. */
export abstract class UpstreamClient {
  abstract start (request: UpstreamRequest): UpstreamCall

  /** Closes connections that are kept for later requests. */
  abstract close (): void
}
