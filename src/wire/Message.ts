/** A decoded frame without its version: a type and the fields of that type. */
export interface Message {
  readonly t: string
  readonly [field: string]: unknown
}
