import type { Command } from 'commander'
import { responseSchemas } from '../responseSchemas.js'
import type { CommandRunner } from '../CommandRunner.js'
import { formatTable } from '../formatTable.js'

/** `contract list` */
export function addContractList (parent: Command, runner: CommandRunner): void {
  parent.command('list').description('list all contracts').action(runner.hostAction(async ({ client }) => {
    return (await client.read('contracts', responseSchemas.contracts)).map(({ version, contracts }) => ({
      json: { version, contracts },
      text: formatTable(
        ['CUSTOMER', 'VERSION', 'RATE/S', 'BURST', 'CONCURRENCY', 'UPLOAD B/S', 'PRIORITY', 'SERVICES'],
        contracts.map((row) => [row.customer, row.version, row.rate, row.burst, row.concurrency, row.uploadBytesPerSecond, row.priority, row.services.join(',')])
      )
    }))
  }))
}
