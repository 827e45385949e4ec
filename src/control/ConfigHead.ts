import type { HeadLogEntry } from './HeadLogEntry.js'

/** Value of row `config/head`: the accepted configuration and its last writes. */
export interface ConfigHead {
  readonly lineage: string
  readonly version: number
  /** Name of the object that holds the document. */
  readonly object: string
  readonly writeId: string
  /** The last 64 writes, the oldest first. */
  readonly log: readonly HeadLogEntry[]
}
