import type { LoanPeer } from './LoanPeer.js'
import type { ShareRow } from './ShareRow.js'

/** True when a request was settled or answered before. A late or repeated copy of a request must not be granted again. */
export function isSettledRequest (row: ShareRow, peer: LoanPeer, seq: number): boolean {
  const settled = row.settledSeqs.get(peer.name)
  const isCovered = settled?.incarnation === peer.incarnation && seq <= settled.seq
  return isCovered || row.share.lent.getAmount(peer.name, seq) !== undefined
}
