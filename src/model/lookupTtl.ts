/** Time in ms that callers may use a lookup answer. */
export const lookupTtl = {
  settledMs: 2_000,
  /** While hosts come, go or drain. */
  changingMs: 500
} as const
