/** Where bytes from outside enter a host. */
export const InputEdge = {
  /** Rows and entries of the platform's store. */
  store: 'store',
  /** Requests of callers. */
  caller: 'caller',
  /** Responses of endpoints. */
  endpoint: 'endpoint',
  /** Heartbeats of other hosts. */
  peer: 'peer'
} as const

export type InputEdge = typeof InputEdge[keyof typeof InputEdge]
