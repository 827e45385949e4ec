/**
 * Why a fetch brought nothing. `busy`: the source serves it after `waitMs`. `failed`: no reply arrived, or the source no longer has the
 * page. `unreadable`: the source sent something else than the page.
 */
export type FetchFailure =
  | { readonly kind: 'busy', readonly waitMs: number }
  | { readonly kind: 'failed' }
  | { readonly kind: 'unreadable' }
