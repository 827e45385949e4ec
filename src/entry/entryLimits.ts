/** Limits of the data path that are not settings. */
export const entryLimits = {
  /** Largest time in ms that a request may take; permit loans rely on it. */
  maxRequestMs: 900_000,
  /** Bodies and answers up to this many bytes are held completely, so that an attempt can be repeated. */
  maxBufferedBytes: 65_536,
  /** Time in ms without a body byte after which a sender counts as too slow. */
  bodyIdleMs: 10_000,
  /** Time in ms to connect to an endpoint or owning host. */
  connectTimeoutMs: 1_000,
  /** Attempts for one request, hedged ones not counted. */
  maxAttempts: 4,
  /** Time in ms from the start of a claim within which it may be used. */
  claimValidMs: 2_000,
  /** Time in ms and bytes for which an unread body is discarded after a refusal, so that the caller can read it. */
  lingerMs: 1_000,
  maxLingerBytes: 1_048_576,
  /** Time in ms after which the address of a signed internal request is refused. */
  maxSignatureAgeMs: 30_000
} as const
