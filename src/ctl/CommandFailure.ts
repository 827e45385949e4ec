import type { exitCodes } from '../common/exitCodes.js'

/** Why a command did not do what it was asked for. */
export interface CommandFailure {
  readonly exit: keyof typeof exitCodes
  readonly message: string
  /** What the operator can do next, as a sentence. */
  readonly next: string
  /** Result code and name when the system refused. */
  readonly code?: number | undefined
  readonly name?: string | undefined
}
