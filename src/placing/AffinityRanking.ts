import type { EndpointRow } from '../endpoints/EndpointRow.js'
import { hashName } from '../common/hashName.js'
import { mixHashes } from '../common/mixHashes.js'

/** Number of cached rankings, and of endpoints in all of them, at which the whole cache is cleared. */
const maxCachedRankings = 20_000
/** Each endpoint of a ranking takes 8 bytes. */
const maxCachedRows = 2_000_000

/** Ranks the endpoints of a service for an object by rendezvous hashing, identically on every host, and caches the rankings. */
export class AffinityRanking {
  private readonly rankings = new Map<string, readonly EndpointRow[]>()
  private rowCount = 0
  private generation = -1

  /** Number of endpoints in all cached rankings. */
  get cachedRows (): number {
    return this.rowCount
  }

  /** Returns the endpoints with the preferred one first; `generation` must change whenever `rows` changes. */
  rank (service: string, object: string, rows: readonly EndpointRow[], generation: number): readonly EndpointRow[] {
    if (generation !== this.generation || this.isFull) {
      this.rankings.clear()
      this.rowCount = 0
      this.generation = generation
    }
    const id = `${service} ${object}`
    const cached = this.rankings.get(id)
    if (cached !== undefined) return cached
    const ranking = sortByScore(object, rows)
    this.rankings.set(id, ranking)
    this.rowCount += ranking.length
    return ranking
  }

  private get isFull (): boolean {
    return this.rankings.size >= maxCachedRankings || this.rowCount >= maxCachedRows
  }
}

function sortByScore (object: string, rows: readonly EndpointRow[]): EndpointRow[] {
  const objectHash = hashName(object)
  return rows
    .map((row) => ({ row, score: mixHashes(objectHash, row.hash) }))
    .sort((a, b) => b.score - a.score || (a.row.record.id < b.row.record.id ? -1 : 1))
    .map(({ row }) => row)
}
