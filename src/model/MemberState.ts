/** What a host believes of another host. */
export const MemberState = {
  alive: 'alive',
  suspect: 'suspect',
  dead: 'dead'
} as const

export type MemberState = typeof MemberState[keyof typeof MemberState]
