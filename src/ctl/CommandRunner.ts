import type { Result } from 'neverthrow'
import type { CommandArgs } from './CommandArgs.js'
import type { CommandFailure } from './CommandFailure.js'
import type { CommandContext } from './CommandContext.js'
import type { Report } from './Report.js'

type CommandResult = Promise<Result<Report, CommandFailure>> | Result<Report, CommandFailure>

/** Creates commander actions that execute a command, print its report and set the exit code. */
export abstract class CommandRunner {
  /** Creates the action of a command that sends requests to hosts. */
  abstract hostAction (execute: (ctx: CommandContext, args: CommandArgs) => CommandResult): (...args: unknown[]) => Promise<void>

  /** Creates the action of a command that only reads files. */
  abstract fileAction (execute: (args: CommandArgs) => CommandResult): (...args: unknown[]) => Promise<void>
}
