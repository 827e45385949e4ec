import type { Command } from 'commander'
import { responseSchemas } from '../responseSchemas.js'
import type { CommandRunner } from '../CommandRunner.js'
import { formatTable } from '../formatTable.js'

/** `drain list` */
export function addDrainList (parent: Command, runner: CommandRunner): void {
  parent.command('list').description('list drains with their requests in flight').action(runner.hostAction(async ({ client }) => {
    return (await client.read('drains', responseSchemas.drains)).map(({ version, drains }) => ({
      json: { version, drains },
      text: formatTable(
        ['KIND', 'NAME', 'BY', 'SINCE', 'IN FLIGHT', 'COMPLETE', 'HOSTS THAT DID NOT CONFIRM'],
        drains.map((row) => [row.kind, row.name, row.by, formatTime(row.atMs), row.inFlight, row.complete, row.notApplied.join(',')])
      )
    }))
  }))
}

function formatTime (wallMs: number): string {
  const date = new Date(wallMs)
  return Number.isNaN(date.getTime()) ? String(wallMs) : date.toISOString()
}
