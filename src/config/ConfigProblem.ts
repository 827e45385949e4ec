/** One fault in a settings, deployment or contract document. */
export interface ConfigProblem {
  /** Undefined when the document did not come from a file. */
  readonly file?: string | undefined
  /** Line from 1; undefined when the document did not come as text. */
  readonly line?: number | undefined
  /** Column from 1. */
  readonly column?: number | undefined
  /** Key path such as `hosts[2].zone`; empty for the whole document. */
  readonly path: string
  readonly message: string
}
