import type { CallKind } from './CallKind.js'

/** What became of one request, as its caller saw it. */
export interface CallRecord {
  readonly customer: string
  readonly region: string
  readonly kind: CallKind
  readonly service: string
  readonly requestId: string
  /** Idempotency key of the last attempt. */
  readonly key: string | undefined
  /** Wall time in ms at which the request was due. */
  readonly intendedMs: number
  /** Time in ms from then to the end of the last attempt. */
  readonly latencyMs: number
  /**
   * `ok`: complete answer to the own request; `notRun` and `unknown`: refused with that outcome; `broken`: no complete
   * answer; `mixed`: an answer to another request or with changed content.
   */
  readonly result: 'ok' | 'notRun' | 'unknown' | 'broken' | 'mixed'
  /** Number of the refusal; 0 without one. */
  readonly code: number
  readonly attempts: number
  /** Host of the last attempt. */
  readonly host: string
  /** Attempts whose connection broke after the request may have been sent. */
  readonly breaks: readonly CallBreak[]
  /** Bytes of a completed upload. */
  readonly uploadedBytes: number
}

/** A broken attempt. */
interface CallBreak {
  readonly host: string
  /** Wall time in ms. */
  readonly atMs: number
  readonly reason: string
}
