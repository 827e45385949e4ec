import { rankByRendezvous } from '../common/rankByRendezvous.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Contract } from '../model/Contract.js'
import type { CapPortion } from './CapPortion.js'

const maxHomes = 16

/** Divides a cap evenly among at most 16 hosts by rendezvous hashing; stands in until the division of src/share is passed in. */
export function computeEvenPortions (doc: ConfigDoc, contract: Contract): ReadonlyMap<string, CapPortion> {
  const homes = rankByRendezvous(contract.customer, doc.hosts.map(({ name }) => name)).slice(0, maxHomes)
  const divide = (total: number, i: number): number => Math.floor(total / homes.length) + (i < total % homes.length ? 1 : 0)
  return new Map(homes.map((host, i) => [host, {
    rate: divide(contract.rate, i),
    burst: divide(contract.burst, i),
    concurrency: divide(contract.concurrency, i),
    uploadBytesPerSecond: divide(contract.uploadBytesPerSecond, i)
  }]))
}
