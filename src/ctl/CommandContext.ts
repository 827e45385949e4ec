import type { Clock } from '../common/Clock.js'
import type { OperatorClient } from './OperatorClient.js'

/** What a command that talks to hosts works with. */
export interface CommandContext {
  readonly client: OperatorClient
  readonly clock: Clock
  readonly dryRun: boolean
  readonly force: boolean
  /** True when the command should wait until its change is in force. */
  readonly wait: boolean
  /** Time in ms that `--timeout` gives; undefined without the option. */
  readonly timeoutMs: number | undefined
  /** Writes a line to stderr. */
  readonly printNotice: (text: string) => void
}
