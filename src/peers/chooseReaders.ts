import { rankByRendezvous } from '../common/rankByRendezvous.js'

/** A live host. */
interface LiveHost {
  readonly name: string
  readonly region: string
}

/** Key of the rendezvous ranking, so that this role isn't assigned to the same hosts as other roles. */
const rankingKey = 'store-readers'

/** Chooses the hosts that read the store, `perRegion` of each region. Hosts that see the same live hosts choose the same readers. */
export function chooseReaders (hosts: readonly LiveHost[], perRegion: number): Set<string> {
  const byRegion = new Map<string, string[]>()
  for (const { name, region } of hosts) byRegion.set(region, [...byRegion.get(region) ?? [], name])
  return new Set([...byRegion.values()].flatMap((names) => rankByRendezvous(rankingKey, names).slice(0, perRegion)))
}
