import { err } from 'neverthrow'
import { Argument } from 'commander'
import type { Command } from 'commander'
import { DrainKind } from '../../model/DrainKind.js'
import { applyWrite } from '../applyWrite.js'
import type { CommandRunner } from '../CommandRunner.js'
import { reportWrite } from '../reportWrite.js'

/** `drain cancel KIND NAME` */
export function addDrainCancel (parent: Command, runner: CommandRunner): void {
  parent.command('cancel').addArgument(new Argument('<kind>').choices(Object.values(DrainKind))).argument('<name>')
    .description('cancel a drain; its target gets new requests again')
    .action(runner.hostAction(async (ctx, { values: [kind = '', name = ''] }) => {
      const applied = await applyWrite(ctx, { method: 'DELETE', path: `drains/${kind}/${encodeURIComponent(name)}`, body: {} })
      return applied.isErr() ? err(applied.error) : await reportWrite(ctx, applied.value)
    }))
}
