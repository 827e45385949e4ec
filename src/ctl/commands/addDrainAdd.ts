import { err, ok } from 'neverthrow'
import { Argument } from 'commander'
import type { Command } from 'commander'
import { DrainKind } from '../../model/DrainKind.js'
import { applyWrite } from '../applyWrite.js'
import type { CommandRunner } from '../CommandRunner.js'
import { waitDrained } from '../waitDrained.js'

/** `drain add KIND NAME` */
export function addDrainAdd (parent: Command, runner: CommandRunner): void {
  parent.command('add').addArgument(new Argument('<kind>').choices(Object.values(DrainKind))).argument('<name>')
    .description('add a drain: its target gets no new requests, and requests in flight complete; --wait returns when none is left')
    .option('--force', 'drain even the last upstreams of a service')
    .action(runner.hostAction(async (ctx, { values: [kind = '', name = ''] }) => {
      const applied = await applyWrite(ctx, { method: 'POST', path: 'drains', body: { kind, name, force: ctx.force } })
      if (applied.isErr()) return err(applied.error)
      const { writeId, version, change } = applied.value
      if (writeId === undefined) return ok({ json: { dryRun: true, version, change }, text: `Dry run: ${change}.` })
      const report = { json: { writeId, version, change, drained: ctx.wait }, text: `${change}. Accepted as configuration version ${version}${ctx.wait ? '; no requests are in flight there any more' : ''}.` }
      return ctx.wait ? (await waitDrained(ctx, { kind, name, version })).map(() => report) : ok(report)
    }))
}
