/** A fault at a key path of a document; `keys` from the root, array positions as numbers. */
export interface ConfigIssue {
  readonly keys: readonly (string | number)[]
  readonly message: string
}
