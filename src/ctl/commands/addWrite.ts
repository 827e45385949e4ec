import { match } from 'ts-pattern'
import type { Command } from 'commander'
import type { CommandRunner } from '../CommandRunner.js'
import type { Report } from '../Report.js'

/** `write WRITE_ID` */
export function addWrite (parent: Command, runner: CommandRunner): void {
  parent.command('write').argument('<write-id>').description('tell what became of a write whose answer was lost').action(runner.hostAction(async ({ client }, { values: [writeId = ''] }) => {
    return (await client.findWriteOutcome(writeId)).map((answer): Report => match(answer)
      .with({ outcome: 'accepted' }, ({ receipt }) => ({
        json: answer, text: `Accepted as configuration version ${receipt?.version ?? '(not known)'}, made by ${receipt?.by ?? '(not known)'}: ${receipt?.change ?? ''}`
      }))
      .with({ outcome: 'not-run' }, () => ({ json: answer, text: 'Not run, and it will not be. The change can be made again.' }))
      .with({ outcome: 'unknown' }, () => ({
        json: answer,
        text: 'Not known: the platform\'s log does not name the write, but it may still arrive. Ask again in a few seconds, also with the host that took the write in --hosts.',
        exit: 'unknown'
      }))
      .exhaustive())
  }))
}
