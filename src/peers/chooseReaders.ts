import { rankByRendezvous } from '../common/rankByRendezvous.js'

/** A live host. */
interface LiveHost {
  readonly name: string
  readonly region: string
  /** Bandwidth of its link in Mbit/s; 0 when unknown. */
  readonly linkMbps: number
}

/** Key of the rendezvous ranking, so that this role isn't assigned to the same hosts as other roles. */
const rankingKey = 'store-readers'
/** Share of the widest link of a region from which a link counts as wide. */
const wideLinkShare = 0.5

/**
 * Chooses the hosts that read the store, `perRegion` of each region. They pass on all changes, so hosts on wide links come first.
 * Hosts that see the same live hosts choose the same readers.
 */
export function chooseReaders (hosts: readonly LiveHost[], perRegion: number): Set<string> {
  const byRegion = new Map<string, LiveHost[]>()
  for (const host of hosts) byRegion.set(host.region, [...byRegion.get(host.region) ?? [], host])
  return new Set([...byRegion.values()].flatMap((members) => rankReaders(members).slice(0, perRegion)))
}

function rankReaders (members: readonly LiveHost[]): string[] {
  const widestMbps = Math.max(...members.map(({ linkMbps }) => linkMbps))
  const isWide = ({ linkMbps }: LiveHost): boolean => linkMbps >= widestMbps * wideLinkShare
  const rank = (group: readonly LiveHost[]): string[] => rankByRendezvous(rankingKey, group.map(({ name }) => name))
  return [...rank(members.filter(isWide)), ...rank(members.filter((member) => !isWide(member)))]
}
