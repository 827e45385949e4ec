import type { exitCodes } from '../common/exitCodes.js'

/** Failure of a command. With `--json`, it is printed with all its fields. */
export interface CommandFailure {
  readonly exit: keyof typeof exitCodes
  readonly message: string
  /** Recommended next step for the operator, as a sentence. */
  readonly next: string
  /** Result code and its name when a host refused the request. */
  readonly code?: number | undefined
  readonly name?: string | undefined
}
