/** An answer that is stored for replay to requests with the same key. */
export interface StoredAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[]>>
  readonly body: Uint8Array
}
