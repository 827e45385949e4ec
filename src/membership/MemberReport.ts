import type { Digest } from '../model/Digest.js'
import type { Listing } from './Listing.js'

/** What a host's agent spreads beyond its row; only that agent makes reports, so the highest one is the newest. */
export interface MemberReport {
  /** Incarnation of the agent that made the report. */
  readonly incarnation: number
  /** Grows by one with each report of an incarnation. */
  readonly no: number
  /** Last digest of the entry process, without the use per customer. */
  readonly digest?: Digest | undefined
  /** Use per customer, encoded; left out of a frame when the receiver has it. */
  readonly uses?: Uint8Array | undefined
  /** What the platform's list says; only from agents that read it. */
  readonly listing?: Listing | undefined
}
