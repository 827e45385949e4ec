/** Kind of a caller's request. */
export const CallKind = {
  /** A short read, such as a refresh of a list. */
  read: 'read',
  /** An order or booking with an idempotency key. */
  order: 'order',
  upload: 'upload'
} as const

export type CallKind = typeof CallKind[keyof typeof CallKind]
