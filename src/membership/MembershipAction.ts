/** An action that the agent must carry out after a step of the membership protocol. */
export type MembershipAction =
  | { readonly kind: 'heartbeat', readonly host: string, readonly address: string }
  /** Request indirect probes of `host` from the helpers. */
  | { readonly kind: 'probe', readonly host: string, readonly helpers: readonly string[] }
  /** A host became suspect or dead; publish a view and send the change to the peers. */
  | { readonly kind: 'state', readonly host: string, readonly state: 'suspect' | 'dead' }
  /** The direct link to a host failed or recovered; publish a view. */
  | { readonly kind: 'link', readonly host: string, readonly down: boolean }
