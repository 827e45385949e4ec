import type { LoanPeer } from './LoanPeer.js'
import type { ShareRow } from './ShareRow.js'

/** Records that a host's process sends no more requests with a sequence number up to `seq`. */
export function recordSettledSeq (row: ShareRow, peer: LoanPeer, seq: number): void {
  const previous = row.settledSeqs.get(peer.name)
  const previousSeq = previous?.incarnation === peer.incarnation ? previous.seq : -1
  row.settledSeqs.set(peer.name, { incarnation: peer.incarnation, seq: Math.max(previousSeq, seq) })
}
