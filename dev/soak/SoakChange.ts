/** A change that the store has acknowledged and that hosts must apply within a time bound. */
export type SoakChange =
  /** An endpoint is draining before it stops, or its entry was removed while it still serves. */
  | { readonly kind: 'drain', readonly endpoint: string, readonly atMs: number }
  /** A zone must not receive requests until `untilMs`. */
  | { readonly kind: 'evacuate', readonly zone: string, readonly atMs: number, untilMs: number }
  /** A route exists until `untilMs`. */
  | { readonly kind: 'route', readonly prefix: string, readonly atMs: number, untilMs: number }
  /** Until `untilMs`, a route is served by one service only, in one region only. */
  | { readonly kind: 'move', readonly prefix: string, readonly service: string, readonly region: string, readonly atMs: number, untilMs: number }
