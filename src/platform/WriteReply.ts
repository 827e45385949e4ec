/** Answer of the platform to a conditional write; both variants are certain. */
export type WriteReply =
  | { readonly written: true, readonly version: number }
  /** Another write came first; `version` is 0 when the row is absent. */
  | { readonly written: false, readonly version: number, readonly value: unknown }
