/** An object in a document, with its key path; its fields have not been validated. */
export interface ConfigRow {
  readonly keys: readonly (string | number)[]
  readonly fields: Readonly<Record<string, unknown>>
}
