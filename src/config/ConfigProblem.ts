/** A reported error in a settings, deployment or contract document, with its position. */
export interface ConfigProblem {
  /** Undefined when the document did not come from a file. */
  readonly file?: string | undefined
  /** Line number, starting at 1; undefined when the document was not parsed from text. */
  readonly line?: number | undefined
  /** Column number, starting at 1. */
  readonly column?: number | undefined
  /** Key path such as `hosts[2].zone`; empty for the whole document. */
  readonly path: string
  readonly message: string
}
