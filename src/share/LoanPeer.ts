/** A host and the incarnation of its process, as authenticated by the frame protocol. */
export interface LoanPeer {
  readonly name: string
  readonly incarnation: number
}
