import type { BorrowedLoan } from './BorrowedLoan.js'

/** Where the permit of an admitted request came from; it goes back there. */
export type PermitSource =
  | { readonly kind: 'own' }
  | { readonly kind: 'short' | 'long', readonly loan: BorrowedLoan }
