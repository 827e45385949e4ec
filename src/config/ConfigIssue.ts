/** A validation error at a key path of a document. `keys` start at the root; array indexes are numbers. */
export interface ConfigIssue {
  readonly keys: readonly (string | number)[]
  readonly message: string
}
