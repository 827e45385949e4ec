/** Determines whether the requests of a route may be retried. */
export const WorkKind = {
  /** May run more than once. */
  idempotent: 'idempotent',
  /** Runs at most once for each request. */
  once: 'once',
  /** Has a large body; runs at most once for each request. */
  upload: 'upload'
} as const

export type WorkKind = typeof WorkKind[keyof typeof WorkKind]
