import type { exitCodes } from '../common/exitCodes.js'

/** What a command found or did. */
export interface Report {
  /** Printed with `--json`. */
  readonly json: unknown
  /** Printed otherwise. */
  readonly text: string
  /** Default: `ok`. */
  readonly exit?: keyof typeof exitCodes
}
