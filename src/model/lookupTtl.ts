/** Times in ms for which callers may cache a lookup response. */
export const lookupTtl = {
  settledMs: 2_000,
  /** Applies while hosts are starting, leaving or draining. */
  changingMs: 500
} as const
