/** An accepted write in the head's log. */
export interface HeadLogEntry {
  /** Configuration version that the write created. */
  readonly version: number
  readonly writeId: string
  /** Operator who requested the write. */
  readonly by: string
  /** The changed item and its changes, such as `contract NAME: rate 10 -> 20`. */
  readonly change: string
}
