import type { Candidate } from './Candidate.js'
import type { RankingRequest } from './RankingRequest.js'

/** Policy that chooses and orders the entry hosts of a lookup response. */
export abstract class HostRanking {
  /** Returns some of the candidates, the preferred one first; pure. */
  abstract rank (request: RankingRequest): Candidate[]
}
