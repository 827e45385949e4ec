import { hashRendezvous } from '../common/hashRendezvous.js'
import { MemberState } from '../model/MemberState.js'
import type { Candidate } from './Candidate.js'
import { HostRanking } from './HostRanking.js'
import type { RankingRequest } from './RankingRequest.js'

/**
 * Concurrency permits of a customer per listed host. With a small cap on many hosts, each host would hold only a
 * few permits and would have to borrow from the others for every burst.
 */
const permitsPerHost = 8

/** Every response lists a second host where one exists, because any host can fail at any time. */
const minHosts = 2

const maxHosts = 16

/** Distance classes from a client to a host; the lowest is preferred. */
const distance = { sameZone: 0, sameRegion: 1, linked: 2, unlinked: 3 } as const

/** A candidate with its sort keys; smaller keys come first. */
interface KeyedCandidate {
  readonly candidate: Candidate
  readonly sortKeys: readonly number[]
}

/**
 * Ranks hosts by their distance from the client. The size of a customer's cap limits the number of hosts, and the
 * client's address determines the ranking among hosts at the same distance, so that clients are spread over them.
 */
export class NearestRanking extends HostRanking {
  override rank (request: RankingRequest): Candidate[] {
    const ranked = sortByKeys(request.candidates, (candidate, index) => [...listSortKeys(candidate, request), index])
    const selected = ensureSecondZone(ranked, countHosts(request))
    const spreadKey = `${request.contract.customer}|${request.client}`
    return sortByKeys(selected, (candidate) => [...listSortKeys(candidate, request), -hashRendezvous(spreadKey, candidate.host.name)])
  }
}

function countHosts ({ contract, candidates }: RankingRequest): number {
  const needed = Math.ceil(contract.concurrency / permitsPerHost)
  return Math.min(candidates.length, maxHosts, Math.max(minHosts, needed))
}

/** Selects the first hosts. When all are in one zone, replaces the last one by the first host of another zone. */
function ensureSecondZone (ranked: readonly Candidate[], count: number): Candidate[] {
  const selected = ranked.slice(0, count)
  const zone = selected[0]?.host.zone
  const replacement = ranked.find(({ host }) => host.zone !== zone)
  const hasSecondZone = selected.some(({ host }) => host.zone !== zone)
  return hasSecondZone || replacement === undefined || count < 2 ? selected : [...selected.slice(0, -1), replacement]
}

function listSortKeys (candidate: Candidate, request: RankingRequest): number[] {
  const { region, serviceRegions, linkBytesPerSecond } = request
  const suspectKey = candidate.state === MemberState.alive ? 0 : 1
  const serviceKey = serviceRegions === undefined || serviceRegions.has(candidate.region) ? 0 : 1
  const bytesPerSecond = region === undefined ? 0 : linkBytesPerSecond(region, candidate.region)
  return [suspectKey, serviceKey, classifyDistance(candidate, request, bytesPerSecond), -bytesPerSecond]
}

function classifyDistance ({ host, region }: Candidate, request: RankingRequest, bytesPerSecond: number): number {
  if (request.zone === host.zone) return distance.sameZone
  if (request.region === region) return distance.sameRegion
  return bytesPerSecond > 0 ? distance.linked : distance.unlinked
}

function sortByKeys (candidates: readonly Candidate[], listKeys: (candidate: Candidate, index: number) => number[]): Candidate[] {
  return candidates
    .map((candidate, index): KeyedCandidate => ({ candidate, sortKeys: listKeys(candidate, index) }))
    .sort((a, b) => compareKeys(a.sortKeys, b.sortKeys))
    .map(({ candidate }) => candidate)
}

function compareKeys (a: readonly number[], b: readonly number[]): number {
  const index = a.findIndex((value, position) => value !== b[position])
  return index < 0 ? 0 : a[index]! - b[index]!
}
