/** What the agent has to do after a step of the policy. */
export type Decision =
  | { readonly kind: 'heartbeat', readonly host: string, readonly address: string }
  /** Ask the helpers to probe `host`. */
  | { readonly kind: 'probe', readonly host: string, readonly helpers: readonly string[] }
  /** A host became suspect or dead; tell readers and peers. */
  | { readonly kind: 'state', readonly host: string, readonly state: 'suspect' | 'dead' }
  /** The direct link to a host broke or works again; tell readers. */
  | { readonly kind: 'link', readonly host: string, readonly down: boolean }
