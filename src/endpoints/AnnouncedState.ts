import type { EndpointRateLimit } from './EndpointRateLimit.js'

/** What holds of an endpoint because its responses said so; times are monotonic ms. */
export interface AnnouncedState {
  /** Rate limit by the latest response to any host; undefined while no host has reported one. */
  rateLimit: EndpointRateLimit | undefined
  /** Rate limit by the latest response to this host. */
  ownRateLimit: EndpointRateLimit | undefined
  /** When a response first said that the endpoint is leaving; undefined while none has, or once a health check denied it. */
  leavingSinceMs: number | undefined
  /** Until when the endpoint wants no requests, by the response to any host that asked for longest. */
  backoffUntilMs: number
  /** The same by the responses to this host. */
  ownBackoffUntilMs: number
}
