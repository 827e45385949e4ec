/** One accepted write in the head's log. */
export interface HeadLogEntry {
  /** Configuration version that the write made. */
  readonly version: number
  readonly writeId: string
  /** Operator who wrote. */
  readonly by: string
  /** Changed item, a colon, and what changed: `contract NAME: rate 10 -> 20`. */
  readonly change: string
}
