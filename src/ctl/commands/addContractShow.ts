import type { Command } from 'commander'
import { answers } from '../answers.js'
import type { CommandRunner } from '../CommandRunner.js'

/** `contract show CUSTOMER` */
export function addContractShow (parent: Command, runner: CommandRunner): void {
  parent.command('show').argument('<customer>')
    .description('show a contract as a file that "contract apply" takes')
    .action(runner.online(async ({ client }, { values: [customer = ''] }) => {
      return (await client.read(`contracts/${encodeURIComponent(customer)}`, answers.contract))
        .map(({ contract }) => ({ json: contract, text: JSON.stringify(contract, undefined, 2) }))
    }))
}
