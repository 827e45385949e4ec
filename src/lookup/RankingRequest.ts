import type { Contract } from '../model/Contract.js'
import type { Candidate } from './Candidate.js'

/** Input of a host ranking. */
export interface RankingRequest {
  readonly contract: Contract
  /** Address of the client, or another stable identifier of it. */
  readonly client: string
  /** Zone of the client; undefined when only its region is known. */
  readonly zone: string | undefined
  /** Region of the client; undefined when it is unknown. */
  readonly region: string | undefined
  /** Regions with endpoints of the requested service; undefined when the request names no service. */
  readonly serviceRegions: ReadonlySet<string> | undefined
  /** Usable hosts, ranked by rendezvous hashing when they are the customer's home hosts. */
  readonly candidates: readonly Candidate[]
  /** Returns the link capacity between two regions in bytes per second; 0 without a link. */
  readonly linkBytesPerSecond: (from: string, to: string) => number
}
