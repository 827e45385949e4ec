import type { Objective } from '../model/Objective.js'
import type { OwnerCandidate } from './OwnerCandidate.js'

/** Cost in ms of a fully used owner when headroom has weight 1; of the size of a round trip between regions. */
const fullLoadCostMs = 100

/**
 * Returns the cost of sending a request to an owner; the lowest cost is chosen. The latency term is the expected delay.
 * The headroom term grows with the square of the utilisation, so that load spreads before an owner is full.
 */
export function scoreOwner (candidate: OwnerCandidate, objective: Objective): number {
  const utilisation = (candidate.used + 1) / candidate.slots
  const waitingMs = Math.max(0, utilisation - 1) * candidate.serviceMs
  return objective.latency * (candidate.delayMs + waitingMs) + objective.headroom * fullLoadCostMs * utilisation ** 2
}
