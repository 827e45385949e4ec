import type { exitCodes } from '../common/exitCodes.js'

/** Result of a successful command. */
export interface Report {
  /** Output with `--json`. */
  readonly json: unknown
  /** Output without `--json`. */
  readonly text: string
  /** Default: `ok`. */
  readonly exit?: keyof typeof exitCodes
}
