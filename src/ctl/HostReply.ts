/**
 * What became of a request to one host: an answer, `unreachable` when nothing was sent, or `lost` when the request
 * may have arrived but no whole answer came.
 */
export type HostReply =
  | { readonly kind: 'answer', readonly status: number, readonly text: string }
  | { readonly kind: 'unreachable' | 'lost', readonly message: string }
