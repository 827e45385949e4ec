/** An object of a document whose fields have not been validated, with its key path. */
export interface ConfigRow {
  readonly keys: readonly (string | number)[]
  readonly fields: Readonly<Record<string, unknown>>
}
