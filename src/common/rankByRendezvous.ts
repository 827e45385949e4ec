import { hashRendezvous } from './hashRendezvous.js'

/** Orders `nodes` by rendezvous hashing for `key`, the first choice first; every process gets the same order. */
export function rankByRendezvous (key: string, nodes: readonly string[]): string[] {
  return nodes
    .map((node) => ({ node, score: hashRendezvous(key, node) }))
    .sort((a, b) => b.score - a.score || (a.node < b.node ? -1 : 1))
    .map(({ node }) => node)
}
