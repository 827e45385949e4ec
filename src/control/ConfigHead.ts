import type { HeadLogEntry } from './HeadLogEntry.js'

/** Value of row `config/head`: names the accepted configuration and logs the last writes. */
export interface ConfigHead {
  readonly lineage: string
  readonly version: number
  /** Name of the object that holds the document. */
  readonly object: string
  readonly writeId: string
  /** The last 64 writes, oldest first. */
  readonly log: readonly HeadLogEntry[]
}
