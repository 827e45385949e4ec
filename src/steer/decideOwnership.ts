import type { Member } from '../model/Member.js'
import { MemberState } from '../model/MemberState.js'

/** What decides whether this host owns an endpoint. */
interface OwnershipInput {
  readonly host: string
  /** Hosts that may own the endpoint, the primary first. */
  readonly order: readonly string[]
  /** True once this host has begun a planned stop. */
  readonly isLeaving: boolean
  /** True while the view is new enough to prove that others are gone. */
  readonly isViewFresh: boolean
  readonly members: ReadonlyMap<string, Member>
}

/**
 * Decides whether this host owns an endpoint. The primary needs no view, so that a zone that is cut off
 * goes on; an adopter needs a fresh view in which every host before it is gone.
 */
export function decideOwnership (input: OwnershipInput): 'primary' | 'adopter' | 'none' {
  const { host, order, isLeaving, isViewFresh, members } = input
  const rank = order.indexOf(host)
  if (rank < 0 || isLeaving) return 'none'
  if (rank === 0) return 'primary'
  if (!isViewFresh) return 'none'
  return order.slice(0, rank).every((other) => isGone(members.get(other))) ? 'adopter' : 'none'
}

/** A member without a digest has not started to serve, so nothing is known to be gone. */
function isGone (member: Member | undefined): boolean {
  if (member === undefined) return false
  if (member.state === MemberState.dead) return true
  return member.digest !== undefined && (!member.digest.serving || member.digest.leaving)
}
