import type { Contract } from '../model/Contract.js'
import type { Candidate } from './Candidate.js'

/** What a ranking decides on. */
export interface RankingRequest {
  readonly contract: Contract
  /** Address of the client, or another text that is the same for the same client. */
  readonly client: string
  /** Zone of the client; undefined when only its region is known. */
  readonly zone: string | undefined
  /** Region of the client; undefined when it is not known. */
  readonly region: string | undefined
  /** Regions with endpoints of the asked service; undefined when no service was named. */
  readonly serviceRegions: ReadonlySet<string> | undefined
  /** Usable hosts, the customer's home hosts in their rendezvous order. */
  readonly candidates: readonly Candidate[]
  /** Bytes per second between two regions; 0 without a link. */
  readonly linkBytesPerSecond: (from: string, to: string) => number
}
