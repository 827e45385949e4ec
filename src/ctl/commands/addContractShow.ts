import type { Command } from 'commander'
import { responseSchemas } from '../responseSchemas.js'
import type { CommandRunner } from '../CommandRunner.js'

/** `contract show CUSTOMER` */
export function addContractShow (parent: Command, runner: CommandRunner): void {
  parent.command('show').argument('<customer>')
    .description('print a contract in the file format of "contract apply"')
    .action(runner.hostAction(async ({ client }, { values: [customer = ''] }) => {
      return (await client.read(`contracts/${encodeURIComponent(customer)}`, responseSchemas.contract))
        .map(({ contract }) => ({ json: contract, text: JSON.stringify(contract, undefined, 2) }))
    }))
}
