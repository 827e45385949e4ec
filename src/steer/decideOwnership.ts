import type { Member } from '../model/Member.js'
import { MemberState } from '../model/MemberState.js'

/** State from which the ownership of one endpoint follows. */
interface OwnershipInput {
  readonly host: string
  /** Hosts that may own the endpoint, the primary first. */
  readonly ranking: readonly string[]
  /** True once this host has begun a planned stop. */
  readonly isLeaving: boolean
  /** True while the view is recent enough to prove that other hosts are gone. */
  readonly isViewFresh: boolean
  readonly members: ReadonlyMap<string, Member>
}

/**
 * Decides whether this host owns an endpoint. The primary needs no view, so that a partitioned zone keeps
 * working; an adopter needs a fresh view in which every host ranked before it is gone.
 */
export function decideOwnership (input: OwnershipInput): 'primary' | 'adopter' | 'none' {
  const { host, ranking, isLeaving, isViewFresh, members } = input
  const rank = ranking.indexOf(host)
  if (rank < 0 || isLeaving) return 'none'
  if (rank === 0) return 'primary'
  if (!isViewFresh) return 'none'
  return ranking.slice(0, rank).every((other) => isGone(members.get(other))) ? 'adopter' : 'none'
}

/** Returns false for a live member without a digest: its entry process may still be starting, which is no proof that it is gone. */
function isGone (member: Member | undefined): boolean {
  if (member === undefined) return false
  if (member.state === MemberState.dead) return true
  return member.digest !== undefined && (!member.digest.serving || member.digest.leaving)
}
