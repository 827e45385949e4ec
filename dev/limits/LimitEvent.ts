/** A trouble, or a change of the limit, of the demand or of the set of hosts. */
export type LimitEvent =
  /** The process of a host ends without notice, and the next one starts after `forMs`. */
  | { readonly kind: 'kill', readonly atMs: number, readonly host: number, readonly forMs: number }
  /** All hosts are restarted, the next one `gapMs` after the one before. */
  | { readonly kind: 'restartAll', readonly atMs: number, readonly gapMs: number }
  | { readonly kind: 'pause', readonly atMs: number, readonly host: number, readonly forMs: number }
  /** Heartbeats between the hosts whose bit of `group` is set and the others are lost; from the others to them they arrive when `isOneWay`. */
  | { readonly kind: 'cut', readonly atMs: number, readonly group: number, readonly isOneWay: boolean, readonly forMs: number }
  /** This share of all heartbeats is lost. */
  | { readonly kind: 'lose', readonly atMs: number, readonly share: number, readonly forMs: number }
  | { readonly kind: 'delay', readonly atMs: number, readonly delayMs: number, readonly forMs: number }
  /** The limit is from now on that of the bound's level. */
  | { readonly kind: 'limit', readonly atMs: number, readonly level: number }
  /** A host gets `factor` times the demand of a usual one. */
  | { readonly kind: 'demand', readonly atMs: number, readonly host: number, readonly factor: number }
  /** Requests need no retries, and endpoints nothing, for a time. */
  | { readonly kind: 'quiet', readonly atMs: number, readonly forMs: number }
  | { readonly kind: 'add' | 'remove', readonly atMs: number, readonly host: number }
