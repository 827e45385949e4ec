import type { Command } from 'commander'
import { compareStatus } from '../compareStatus.js'
import { responseSchemas } from '../responseSchemas.js'
import type { CommandRunner } from '../CommandRunner.js'
import { formatTable } from '../formatTable.js'

/** `host list` */
export function addHostList (parent: Command, runner: CommandRunner): void {
  parent.command('list')
    .description('list entry hosts with their state as reported by the responding host')
    .option('--compare', 'show where hosts report different states of a host; exits with "differs" when they do')
    .action(runner.hostAction(async (ctx, { options }) => {
      if (options.compare === true) return await compareStatus(ctx)
      return (await ctx.client.read('status', responseSchemas.status)).map((status) => ({
        json: status,
        text: formatTable(
          ['HOST', 'ZONE', 'STATE', 'CONFIG', 'IN FORCE', 'SERVING', 'LEAVING', 'IN FLIGHT'],
          status.members.map(({ host, zone, state, configVersion, digest }) => [
            host, zone, state, configVersion, digest?.appliedVersion ?? 0, digest?.serving ?? false, (digest?.leaving ?? false) || status.leavingHosts.includes(host), digest?.inFlight ?? 0
          ])
        )
      }))
    }))
}
