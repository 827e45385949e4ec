import type { SummaryRow } from './SummaryRow.js'
import type { WireRow } from './WireRow.js'

/** What two agents tell each other in a heartbeat and in its answer. */
export interface Exchange {
  /** Own row; the sequence number grows with each heartbeat. */
  readonly row: WireRow
  /** Start of the sending process; change numbers count from there. */
  readonly epoch: number
  /** The rows cover the sender's changes after `from` up to `upTo`. */
  readonly from: number
  readonly upTo: number
  readonly rows: readonly WireRow[]
  /** Change number of the receiver up to which the sender has all rows. */
  readonly got: number
  /** Epoch of the receiver that `got` belongs to. */
  readonly gotEpoch: number
  /** True when the sender gets no answers from the receiver. */
  readonly down: boolean
  /** Hosts whose rows the sender cannot get directly. */
  readonly wants: readonly string[]
  /** Zones whose rows the sender cannot get directly. */
  readonly wantZones: readonly string[]
  /** Some of the sender's rows, so that the receiver can return newer ones. */
  readonly summary: readonly SummaryRow[]
  readonly lineage: string
  readonly version: number
  readonly writeId: string
}
