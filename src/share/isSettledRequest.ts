import type { LoanPeer } from './LoanPeer.js'
import type { ShareRow } from './ShareRow.js'

/** True when a request was settled or answered before; a late or repeated one must not lend again. */
export function isSettledRequest (row: ShareRow, peer: LoanPeer, seq: number): boolean {
  const known = row.settledSeqs.get(peer.name)
  const isKnown = known?.incarnation === peer.incarnation && seq <= known.seq
  return isKnown || row.share.lent.getAmount(peer.name, seq) !== undefined
}
