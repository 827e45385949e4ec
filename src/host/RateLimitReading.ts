/** What a response says of its endpoint's rate limit. */
export type RateLimitReading =
  | { readonly kind: 'none' }
  /** Requests a second that the endpoint takes from all hosts together. */
  | { readonly kind: 'limit', readonly perSecond: number }
  | { readonly kind: 'invalid', readonly text: string }
