import { MemberState } from '../model/MemberState.js'

/** Member states by precedence: of two rows with the same incarnation and sequence number, the later state wins. */
export const stateRanks = [MemberState.alive, MemberState.suspect, MemberState.dead] as const
