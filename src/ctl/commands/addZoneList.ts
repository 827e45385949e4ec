import { err, ok } from 'neverthrow'
import type { Command } from 'commander'
import { compareStatus } from '../compareStatus.js'
import { responseSchemas } from '../responseSchemas.js'
import type { CommandRunner } from '../CommandRunner.js'
import { formatTable } from '../formatTable.js'

/** `zone list` */
export function addZoneList (parent: Command, runner: CommandRunner): void {
  parent.command('list')
    .description('list zones with their hosts, endpoints and drains as reported by the responding host')
    .option('--compare', 'show where hosts report different states of a host; exits with "differs" when they do')
    .action(runner.hostAction(async (ctx, { options }) => {
      if (options.compare === true) return await compareStatus(ctx)
      const status = await ctx.client.read('status', responseSchemas.status)
      if (status.isErr()) return err(status.error)
      const loaded = await ctx.client.read('deployment', responseSchemas.deployment)
      if (loaded.isErr()) return err(loaded.error)
      const drains = await ctx.client.read('drains', responseSchemas.drains)
      if (drains.isErr()) return err(drains.error)
      const { zones, hosts, endpoints } = loaded.value.deployment
      const members = new Map(status.value.members.map((member) => [member.host, member]))
      const rows = zones.map(({ name, region }) => {
        const zoneHosts = hosts.filter(({ zone }) => zone === name)
        return {
          zone: name,
          region,
          hosts: zoneHosts.length,
          alive: zoneHosts.filter((host) => members.get(host.name)?.state === 'alive').length,
          serving: zoneHosts.filter((host) => members.get(host.name)?.digest?.serving === true).length,
          endpoints: endpoints.filter(({ zone }) => zone === name).length,
          drained: drains.value.drains.some((drain) => drain.kind === 'zone' && drain.name === name)
        }
      })
      return ok({ json: rows, text: formatTable(['ZONE', 'REGION', 'HOSTS', 'ALIVE', 'SERVING', 'ENDPOINTS', 'DRAINED'], rows.map((row) => Object.values(row))) })
    }))
}
