import type { Result } from 'neverthrow'
import type { CommandArgs } from './CommandArgs.js'
import type { CommandFailure } from './CommandFailure.js'
import type { CommandContext } from './CommandContext.js'
import type { Report } from './Report.js'

type CommandResult = Promise<Result<Report, CommandFailure>> | Result<Report, CommandFailure>

/** Turns command functions into commander actions that print the report and set the exit code. */
export abstract class CommandRunner {
  /** For commands that talk to hosts. */
  abstract hostAction (execute: (ctx: CommandContext, args: CommandArgs) => CommandResult): (...args: unknown[]) => Promise<void>

  /** For commands that only read files. */
  abstract fileAction (execute: (args: CommandArgs) => CommandResult): (...args: unknown[]) => Promise<void>
}
