import type { Contract } from '../model/Contract.js'
import type { AgentState } from './AgentState.js'

/** Describes a customer's cap and its use on each host, from the hosts' last digests. */
export function describeLimits (contract: Contract, state: Pick<AgentState, 'listMembers' | 'listUses'>): unknown {
  const { customer, version, rate, burst, concurrency, uploadBytesPerSecond, regionShare } = contract
  const uses = state.listMembers().flatMap(({ host, state: memberState }) => {
    const use = state.listUses(host).find((candidate) => candidate.customer === customer)
    return use === undefined ? [] : [{ host, state: memberState, inFlight: use.inFlight, rate: use.rate, rateHeld: use.rateHeld, permitsHeld: use.permitsHeld }]
  })
  return {
    customer,
    version,
    cap: { rate, burst, concurrency, uploadBytesPerSecond, regionShare },
    use: {
      inFlight: uses.reduce((sum, use) => sum + use.inFlight, 0),
      rate: uses.reduce((sum, use) => sum + use.rate, 0)
    },
    hosts: uses
  }
}
