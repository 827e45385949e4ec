import type { Clock } from '../common/Clock.js'
import type { OperatorClient } from './OperatorClient.js'

/** Client and global options for a command that sends requests to hosts. */
export interface CommandContext {
  readonly client: OperatorClient
  readonly clock: Clock
  readonly dryRun: boolean
  readonly force: boolean
  /** True when the command waits until its change is in force. */
  readonly wait: boolean
  /** Value of `--timeout` in ms; undefined without the option. */
  readonly timeoutMs: number | undefined
  /** Writes a line to stderr. */
  readonly printNotice: (text: string) => void
}
