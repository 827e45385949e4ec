/** A host and its process, as the frame protocol has proved them. */
export interface LoanPeer {
  readonly name: string
  readonly incarnation: number
}
