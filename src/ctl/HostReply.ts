/**
 * Result of a request to one host: `answer` for a complete response, `unreachable` when nothing was sent, `lost` when
 * the host may have received the request but no complete response arrived.
 */
export type HostReply =
  | { readonly kind: 'answer', readonly status: number, readonly text: string }
  | { readonly kind: 'unreachable' | 'lost', readonly message: string }
