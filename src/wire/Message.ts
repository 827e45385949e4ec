/** A decoded frame: its type `t` and the fields of that type. */
export interface Message {
  readonly t: string
  readonly [field: string]: unknown
}
