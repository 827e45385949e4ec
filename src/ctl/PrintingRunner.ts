import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Command } from 'commander'
import { exitCodes } from '../common/exitCodes.js'
import type { CommandArgs } from './CommandArgs.js'
import type { CommandFailure } from './CommandFailure.js'
import { CommandRunner } from './CommandRunner.js'
import { createContext } from './createContext.js'
import type { CommandContext } from './CommandContext.js'
import type { GlobalOptions } from './GlobalOptions.js'
import type { Report } from './Report.js'

type CommandResult = Promise<Result<Report, CommandFailure>> | Result<Report, CommandFailure>

/** Prints reports to stdout, notices and failures to stderr, and sets the exit code of the process. */
export class PrintingRunner extends CommandRunner {
  constructor (private readonly environment: NodeJS.ProcessEnv) {
    super()
  }

  override hostAction (execute: (ctx: CommandContext, args: CommandArgs) => CommandResult): (...args: unknown[]) => Promise<void> {
    return this.createAction(async (args) => {
      const ctx = createContext(args.options as GlobalOptions, this.environment, (text) => process.stderr.write(`${text}\n`))
      return ctx.isErr() ? err(ctx.error) : await execute(ctx.value, args)
    })
  }

  override fileAction (execute: (args: CommandArgs) => CommandResult): (...args: unknown[]) => Promise<void> {
    return this.createAction(execute)
  }

  private createAction (execute: (args: CommandArgs) => CommandResult): (...args: unknown[]) => Promise<void> {
    // commander passes the arguments, then the command's own options, then the command.
    return async (...actionArgs) => {
      const command = actionArgs.at(-1) as Command
      const values = actionArgs.slice(0, -2).filter((value) => typeof value === 'string')
      const options = command.optsWithGlobals<Record<string, string | boolean | undefined>>()
      const result = await execute({ values, options })
      if (result.isOk()) printReport(result.value, options.json === true)
      else printFailure(result.error, options.json === true)
    }
  }
}

function printReport ({ json, text, exit = 'ok' }: Report, asJson: boolean): void {
  process.stdout.write(`${asJson ? JSON.stringify(json, undefined, 2) : text}\n`)
  process.exitCode = exitCodes[exit].code
}

function printFailure (failure: CommandFailure, asJson: boolean): void {
  const code = failure.code === undefined ? '' : ` [${failure.code} ${failure.name}]`
  const text = asJson ? JSON.stringify({ error: { ...failure, exitCode: exitCodes[failure.exit].code } }) : `${failure.message}${code}\nNext: ${failure.next}`
  process.stderr.write(`${text}\n`)
  process.exitCode = exitCodes[failure.exit].code
}
