import type { Command } from 'commander'
import { responseSchemas } from '../responseSchemas.js'
import type { CommandRunner } from '../CommandRunner.js'
import { formatTable } from '../formatTable.js'

/** `limits CUSTOMER` */
export function addLimits (parent: Command, runner: CommandRunner): void {
  parent.command('limits').argument('<customer>').description('show a customer\'s caps, and the permits and rate that each host holds and uses').action(runner.hostAction(async ({ client }, { values: [customer = ''] }) => {
    return (await client.read(`limits/${encodeURIComponent(customer)}`, responseSchemas.limits)).map((limits) => {
      const { cap, use, hosts } = limits
      return {
        json: limits,
        text: [
          formatTable(['LIMIT', 'CAP', 'IN USE'], [['rate/s', String(cap.rate), String(Math.round(use.rate * 10) / 10)], ['concurrency', String(cap.concurrency), String(use.inFlight)], ['burst', String(cap.burst), ''], ['upload B/s', String(cap.uploadBytesPerSecond), ''], ['region share', String(cap.regionShare), '']]),
          formatTable(['HOST', 'STATE', 'IN FLIGHT', 'PERMITS HELD', 'RATE/S', 'RATE HELD/S'], hosts.map((row) => [row.host, row.state, row.inFlight, row.permitsHeld, row.rate, row.rateHeld]))
        ].join('\n\n')
      }
    })
  }))
}
