import { err } from 'neverthrow'
import type { Command } from 'commander'
import { responseSchemas } from '../responseSchemas.js'
import { applyWrite } from '../applyWrite.js'
import type { CommandRunner } from '../CommandRunner.js'
import { reportWrite } from '../reportWrite.js'

/** `contract remove CUSTOMER` */
export function addContractRemove (parent: Command, runner: CommandRunner): void {
  parent.command('remove').argument('<customer>').description('remove a contract; requests of its customer are refused from then on').action(runner.hostAction(async (ctx, { values: [customer = ''] }) => {
    const path = `contracts/${encodeURIComponent(customer)}`
    const current = await ctx.client.read(path, responseSchemas.contract)
    if (current.isErr()) return err(current.error)
    const applied = await applyWrite(ctx, { method: 'DELETE', path, body: { expectVersion: current.value.contract.version } })
    return applied.isErr() ? err(applied.error) : await reportWrite(ctx, applied.value)
  }))
}
