/** State of a host as seen by an agent. */
export const MemberState = {
  alive: 'alive',
  suspect: 'suspect',
  dead: 'dead'
} as const

export type MemberState = typeof MemberState[keyof typeof MemberState]
