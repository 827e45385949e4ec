/** Result of an attempt at an endpoint or at the host that owns it. */
export const AttemptResult = {
  ok: 'ok',
  /** The connection could not be opened, or closed before anything was written. */
  refused: 'refused',
  /** The endpoint or its owner shed the request without running it. */
  shed: 'shed',
  /** The connection closed early or the answer was incomplete. */
  broken: 'broken',
  timeout: 'timeout',
  /** The caller disconnected. */
  cancelled: 'cancelled'
} as const

export type AttemptResult = typeof AttemptResult[keyof typeof AttemptResult]
