import { hashRendezvous } from '../common/hashRendezvous.js'
import { MemberState } from '../model/MemberState.js'
import type { Candidate } from './Candidate.js'
import { HostRanking } from './HostRanking.js'
import type { RankRequest } from './RankRequest.js'

/**
 * Permits per named host. A customer whose whole cap is small gains nothing from many hosts: each holds a
 * portion of a few permits and has to borrow the others' portions for every burst.
 */
const permitsPerHost = 8

/** One host may fail at any moment, so a response names a second one whenever there is one. */
const minHosts = 2

const maxHosts = 16

/** Distances in ascending order of preference. */
const distance = { sameZone: 0, sameRegion: 1, linked: 2, far: 3 } as const

/** A candidate with what it is ordered by; smaller values come first. */
interface RatedCandidate {
  readonly candidate: Candidate
  readonly sortKeys: readonly number[]
}

/**
 * Names the near home hosts first. A customer with a small cap gets few hosts; the callers of a customer with
 * several equally near hosts are spread over them by their address.
 */
export class NearestRanking extends HostRanking {
  override rank (request: RankRequest): Candidate[] {
    const near = orderBy(request.candidates, (candidate, index) => [...rateDistance(candidate, request), index])
    const chosen = keepSecondZone(near, countHosts(request))
    const spreadKey = `${request.contract.customer}|${request.client}`
    return orderBy(chosen, (candidate) => [...rateDistance(candidate, request), -hashRendezvous(spreadKey, candidate.host.name)])
  }
}

function countHosts ({ contract, candidates }: RankRequest): number {
  const wanted = Math.ceil(contract.concurrency / permitsPerHost)
  return Math.min(candidates.length, maxHosts, Math.max(minHosts, wanted))
}

/** Takes the first hosts; the last of them gives way when all are in one zone and another zone has a host. */
function keepSecondZone (near: readonly Candidate[], count: number): Candidate[] {
  const chosen = near.slice(0, count)
  const zone = chosen[0]?.host.zone
  const other = near.find(({ host }) => host.zone !== zone)
  const covered = chosen.some(({ host }) => host.zone !== zone)
  return covered || other === undefined || count < 2 ? chosen : [...chosen.slice(0, -1), other]
}

function rateDistance (candidate: Candidate, request: RankRequest): number[] {
  const { region, serviceRegions, linkBytesPerSecond } = request
  const suspect = candidate.state === MemberState.alive ? 0 : 1
  const away = serviceRegions === undefined || serviceRegions.has(candidate.region) ? 0 : 1
  const bytesPerSecond = region === undefined ? 0 : linkBytesPerSecond(region, candidate.region)
  return [suspect, away, measureDistance(candidate, request, bytesPerSecond), -bytesPerSecond]
}

function measureDistance ({ host, region }: Candidate, request: RankRequest, bytesPerSecond: number): number {
  if (request.zone === host.zone) return distance.sameZone
  if (request.region === region) return distance.sameRegion
  return bytesPerSecond > 0 ? distance.linked : distance.far
}

function orderBy (candidates: readonly Candidate[], rate: (candidate: Candidate, index: number) => number[]): Candidate[] {
  return candidates
    .map((candidate, index): RatedCandidate => ({ candidate, sortKeys: rate(candidate, index) }))
    .sort((a, b) => compareKeys(a.sortKeys, b.sortKeys))
    .map(({ candidate }) => candidate)
}

function compareKeys (a: readonly number[], b: readonly number[]): number {
  const index = a.findIndex((value, position) => value !== b[position])
  return index < 0 ? 0 : a[index]! - b[index]!
}
