/** What may be repeated on a route. */
export const WorkKind = {
  /** May run more than once. */
  idempotent: 'idempotent',
  /** Runs at most once for each request. */
  once: 'once',
  /** A large body; runs at most once for each request. */
  upload: 'upload'
} as const

export type WorkKind = typeof WorkKind[keyof typeof WorkKind]
