import { match } from 'ts-pattern'
import type { Command } from 'commander'
import type { CommandRunner } from '../CommandRunner.js'
import type { Report } from '../Report.js'

/** `write WRITE_ID` */
export function addWrite (parent: Command, runner: CommandRunner): void {
  parent.command('write').argument('<write-id>').description('show the outcome of a write whose response was lost').action(runner.hostAction(async ({ client }, { values: [writeId = ''] }) => {
    return (await client.findWriteOutcome(writeId)).map((writeOutcome): Report => match(writeOutcome)
      .with({ outcome: 'accepted' }, ({ receipt }) => ({
        json: writeOutcome, text: `Accepted as configuration version ${receipt?.version ?? '(unknown)'}, made by ${receipt?.by ?? '(unknown)'}: ${receipt?.change ?? ''}`
      }))
      .with({ outcome: 'not-run' }, () => ({ json: writeOutcome, text: 'The write was not run and will not be run. The change can be made again.' }))
      .with({ outcome: 'unknown' }, () => ({
        json: writeOutcome,
        text: 'Unknown: the platform\'s log does not contain the write, but it may still be added. Repeat this command in a few seconds, and include the host that received the write in --hosts.',
        exit: 'unknown'
      }))
      .exhaustive())
  }))
}
