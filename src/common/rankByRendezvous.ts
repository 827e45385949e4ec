import { hashRendezvous } from './hashRendezvous.js'

/** Ranks `nodes` for `key` by rendezvous hashing, best first; every process computes the same ranking. */
export function rankByRendezvous (key: string, nodes: readonly string[]): string[] {
  return nodes
    .map((node) => ({ node, score: hashRendezvous(key, node) }))
    .sort((a, b) => b.score - a.score || (a.node < b.node ? -1 : 1))
    .map(({ node }) => node)
}
