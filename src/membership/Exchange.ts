import type { SummaryRow } from './SummaryRow.js'
import type { WireRow } from './WireRow.js'

/** Content of a heartbeat and of its acknowledgement. */
export interface Exchange {
  /** Row of the sender; its sequence number grows with each heartbeat. */
  readonly row: WireRow
  /** Identifies the sending process by its start; change numbers are valid only within one epoch. */
  readonly epoch: number
  /** `rows` covers the sender's changes after `from` up to `upTo`. */
  readonly from: number
  readonly upTo: number
  readonly rows: readonly WireRow[]
  /** Change number of the receiver up to which the sender has received all rows. */
  readonly got: number
  /** Epoch of the receiver that `got` refers to. */
  readonly gotEpoch: number
  /** True when the receiver does not acknowledge the sender's heartbeats. */
  readonly down: boolean
  /** Hosts whose rows the sender cannot receive directly. */
  readonly wants: readonly string[]
  /** Zones whose rows the sender cannot receive directly. */
  readonly wantZones: readonly string[]
  /** Versions of some of the sender's rows; the receiver returns the rows that are newer. */
  readonly summary: readonly SummaryRow[]
  readonly lineage: string
  readonly version: number
  readonly writeId: string
}
