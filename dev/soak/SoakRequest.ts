/** What a caller knows of one request. */
export interface SoakRequest {
  readonly id: string
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly body: string
  /** May run more than once. */
  readonly isIdempotent: boolean
  /** Host that it was sent to. */
  readonly host: string
  readonly deadlineMs: number
  /** Times in ms of `performance.now()`. */
  readonly sentAtMs: number
  endedAtMs: number
  /** Status of the answer; 0 when the connection ended without a whole one. */
  status: number
  /** Endpoint that signed the answer. */
  signedBy: string | undefined
  /** Id that the answer names, and its body. */
  answerId: string | undefined
  answerBody: string
  /** The caller left because its deadline had passed. */
  hasLeft: boolean
}
