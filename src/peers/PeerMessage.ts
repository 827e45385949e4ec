/** Types of the messages between hosts. */
export const PeerMessage = {
  /** Request and reply: a heartbeat. */
  heartbeat: 'beat',
  /** Request for what the sender lacks of a table. */
  fetch: 'fetch',
  /** Reply to `fetch`. */
  page: 'page'
} as const

export type PeerMessage = typeof PeerMessage[keyof typeof PeerMessage]
