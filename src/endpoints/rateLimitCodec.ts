import * as z from 'zod/mini'
import type { EndpointRateLimit } from './EndpointRateLimit.js'

/** Stands for an endpoint that has named no limit since it named one. */
const noLimit = -1

const schema = z.tuple([z.string(), z.number().check(z.gte(noLimit)), z.number().check(z.gte(0))])

/** A rate limit as a heartbeat reports it, with the age in ms of the response that named it. */
type RateLimitReport = readonly [endpoint: string, perSecond: number, ageMs: number]

/** Writes and reads the rate limits in heartbeats. */
export const rateLimitCodec = {
  schema,

  encode (endpoint: string, { perSecond, heardAtMs }: EndpointRateLimit, nowMs: number): RateLimitReport {
    return [endpoint, perSecond ?? noLimit, Math.max(0, Math.round(nowMs - heardAtMs))]
  },

  /** Returns what a report says that was received at `receivedAtMs`. */
  decode ([, perSecond, ageMs]: RateLimitReport, receivedAtMs: number): EndpointRateLimit {
    return { perSecond: perSecond < 0 ? undefined : perSecond, heardAtMs: receivedAtMs - ageMs }
  }
} as const
