import type { LoanPeer } from './LoanPeer.js'
import type { ShareRow } from './ShareRow.js'

/** Notes that a host's process will not ask again with a sequence number up to `seq`. */
export function recordSettledSeq (row: ShareRow, peer: LoanPeer, seq: number): void {
  const known = row.settledSeqs.get(peer.name)
  const before = known?.incarnation === peer.incarnation ? known.seq : -1
  row.settledSeqs.set(peer.name, { incarnation: peer.incarnation, seq: Math.max(before, seq) })
}
