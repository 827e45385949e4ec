/** How an attempt at an endpoint or owning host ended, for steering. */
export const AttemptResult = {
  ok: 'ok',
  /** No connection, or it broke before anything was written. */
  refused: 'refused',
  /** The endpoint or owner shed the request without running it. */
  shed: 'shed',
  /** The connection broke or the answer was incomplete. */
  broken: 'broken',
  timeout: 'timeout',
  /** The caller went away. */
  cancelled: 'cancelled'
} as const

export type AttemptResult = typeof AttemptResult[keyof typeof AttemptResult]
