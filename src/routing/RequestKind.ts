/** Determines whether the requests of a route may be retried. */
export const RequestKind = {
  /** May run more than once. */
  idempotent: 'idempotent',
  /** Runs at most once for each request. */
  once: 'once',
  /** Has a large body; runs at most once for each request. */
  upload: 'upload'
} as const

export type RequestKind = typeof RequestKind[keyof typeof RequestKind]
