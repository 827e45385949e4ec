/** An accepted write. */
export interface WriteReceipt {
  readonly writeId: string
  /** Configuration version that the write created. */
  readonly version: number
  readonly by: string
  readonly change: string
}
