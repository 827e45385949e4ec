import type { EndpointRow } from '../endpoints/EndpointRow.js'
import { hashRendezvous } from '../common/hashRendezvous.js'

/** Rankings kept at once; above it all are dropped. */
const maxRankings = 20_000

/** Orders the endpoints of a service for an object, the same at every host, and remembers the orders. */
export class AffinityRanking {
  private readonly rankings = new Map<string, readonly EndpointRow[]>()
  private generation = -1

  /** `generation` must change whenever `rows` does. */
  rank (service: string, object: string, rows: readonly EndpointRow[], generation: number): readonly EndpointRow[] {
    if (generation !== this.generation || this.rankings.size >= maxRankings) {
      this.rankings.clear()
      this.generation = generation
    }
    const id = `${service} ${object}`
    const known = this.rankings.get(id)
    if (known !== undefined) return known
    const ranking = sortByScore(object, rows)
    this.rankings.set(id, ranking)
    return ranking
  }
}

function sortByScore (object: string, rows: readonly EndpointRow[]): EndpointRow[] {
  return rows
    .map((row) => ({ row, score: hashRendezvous(object, row.record.id) }))
    .sort((a, b) => b.score - a.score)
    .map(({ row }) => row)
}
