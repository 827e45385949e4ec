import { MemberState } from '../model/MemberState.js'

/** States by rank; of two rows with the same incarnation and sequence number the higher rank holds. */
export const stateRanks = [MemberState.alive, MemberState.suspect, MemberState.dead] as const
