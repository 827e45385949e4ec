/** A change that the store acknowledged and that hosts must follow within a time. */
export type SoakOrder =
  /** An endpoint is leaving for good. */
  | { readonly kind: 'drain', readonly endpoint: string, readonly atMs: number }
  /** A zone must get nothing until `untilMs`. */
  | { readonly kind: 'evacuate', readonly zone: string, readonly atMs: number, untilMs: number }
  /** A route exists until `untilMs`. */
  | { readonly kind: 'route', readonly prefix: string, readonly atMs: number, untilMs: number }
