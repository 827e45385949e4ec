/** An answer kept for replay to the same key. */
export interface KeptAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[]>>
  readonly body: Uint8Array
}
