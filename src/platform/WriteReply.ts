/** Reply of the platform to a conditional write, which either took effect or certainly did not. */
export type WriteReply =
  | { readonly written: true, readonly version: number }
  /** The row has another version than expected; `version` is 0 when it is absent. */
  | { readonly written: false, readonly version: number, readonly value: unknown }
