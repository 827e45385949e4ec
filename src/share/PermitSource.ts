import type { BorrowedLoan } from './BorrowedLoan.js'

/** The origin of an admitted request's permit, to which the permit is returned. */
export type PermitSource =
  | { readonly kind: 'own' }
  | { readonly kind: 'short' | 'long', readonly loan: BorrowedLoan }
