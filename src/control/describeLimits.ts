import type { Contract } from '../model/Contract.js'
import type { Member } from '../model/Member.js'

/** A customer's cap and what each host uses of it, from the hosts' last digests. */
export function describeLimits (contract: Contract, members: readonly Member[]): unknown {
  const { customer, version, rate, burst, concurrency, uploadBytesPerSecond, regionShare } = contract
  const uses = members.flatMap(({ host, state, digest }) => {
    const use = digest?.uses.find((candidate) => candidate.customer === customer)
    return use === undefined ? [] : [{ host, state, inFlight: use.inFlight, rate: use.rate, rateHeld: use.rateHeld, permitsHeld: use.permitsHeld }]
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
