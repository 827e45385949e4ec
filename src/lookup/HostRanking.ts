import type { Candidate } from './Candidate.js'
import type { RankingRequest } from './RankingRequest.js'

/** Policy that selects and sorts the entry hosts of a lookup response. */
export abstract class HostRanking {
  /** Returns the selected candidates, the preferred one first; without side effects. */
  abstract rank (request: RankingRequest): Candidate[]
}
