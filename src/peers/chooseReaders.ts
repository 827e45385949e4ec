import { rankByRendezvous } from '../common/rankByRendezvous.js'

/** A live host. */
interface LiveHost {
  readonly name: string
  readonly region: string
}

/** Key of the ranking, so that the job doesn't fall to the same hosts as other ones. */
const rankingKey = 'store-readers'

/** The hosts that ask the store, `perRegion` of each region; every host that sees the same live hosts chooses the same. */
export function chooseReaders (hosts: readonly LiveHost[], perRegion: number): Set<string> {
  const byRegion = new Map<string, string[]>()
  for (const { name, region } of hosts) byRegion.set(region, [...byRegion.get(region) ?? [], name])
  return new Set([...byRegion.values()].flatMap((names) => rankByRendezvous(rankingKey, names).slice(0, perRegion)))
}
