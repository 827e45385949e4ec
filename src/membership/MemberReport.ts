import type { Digest } from '../model/Digest.js'
import type { Listing } from './Listing.js'

/** State that a host's agent publishes along with its row. Only that agent creates reports, so the one with the highest number is the newest. */
export interface MemberReport {
  /** Incarnation of the agent that created the report. */
  readonly incarnation: number
  /** Grows by one with each report of an incarnation. */
  readonly no: number
  /** Last digest of the entry process, without the usage per customer. */
  readonly digest?: Digest | undefined
  /** Encoded usage per customer; left out of a frame when the receiver already has it. */
  readonly uses?: Uint8Array | undefined
  /** Names that the platform's list marks as leaving; present only in reports of agents that read the list. */
  readonly listing?: Listing | undefined
}
