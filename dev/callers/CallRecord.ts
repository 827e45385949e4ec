import type { CallKind } from './CallKind.js'

/** Outcome of one request as its caller observed it. */
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
  /** Time in ms from when the request was due to the end of the last attempt. */
  readonly latencyMs: number
  /**
   * `ok`: a complete answer that matches the request; `notRun` and `unknown`: refused with that outcome; `broken`: no
   * complete answer; `mixed`: an answer to another request or with altered content.
   */
  readonly result: 'ok' | 'notRun' | 'unknown' | 'broken' | 'mixed'
  /** Result code of the refusal; 0 if the request was not refused. */
  readonly code: number
  readonly attempts: number
  /** Host of the last attempt. */
  readonly host: string
  /** Attempts whose connection broke after the request may have been sent. */
  readonly breaks: readonly CallBreak[]
  /** Bytes of a completed upload. */
  readonly uploadedBytes: number
}

/** An attempt whose connection broke. */
interface CallBreak {
  readonly host: string
  /** The caller's side of the connection, `a.b.c.d:port`. */
  readonly client: string
  /** Wall time in ms at which the attempt began. */
  readonly sentAtMs: number
  /** Wall time in ms at which the connection broke. */
  readonly atMs: number
  readonly reason: string
}
