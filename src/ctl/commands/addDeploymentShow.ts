import type { Command } from 'commander'
import type { z } from 'zod'
import { responseSchemas } from '../responseSchemas.js'
import type { CommandRunner } from '../CommandRunner.js'
import { formatTable } from '../formatTable.js'

type Deployment = z.infer<typeof responseSchemas.deployment>['deployment']

/** `deployment show` */
export function addDeploymentShow (parent: Command, runner: CommandRunner): void {
  parent.command('show').description('show hosts, services, endpoints and links; --json prints the file format of "deployment apply"').action(runner.hostAction(async ({ client }) => {
    return (await client.read('deployment', responseSchemas.deployment)).map(({ version, deployment }) => ({ json: deployment, text: formatDeployment(version, deployment) }))
  }))
}

function formatDeployment (version: number, { lineage, zones, hosts, services, endpoints, links, objective }: Deployment): string {
  const regions = new Map(zones.map(({ name, region }) => [name, region]))
  return [
    `lineage ${lineage}, configuration version ${version}, objective latency ${objective.latency} headroom ${objective.headroom}`,
    formatTable(['HOST', 'ZONE', 'REGION', 'ADDRESS'], hosts.map(({ name, zone, address }) => [name, zone, regions.get(zone) ?? '', address])),
    formatTable(['SERVICE', 'PATH', 'ENDPOINTS', 'SLOTS'], services.map(({ name, path }) => {
      const serviceEndpoints = endpoints.filter(({ service }) => service === name)
      return [name, path, serviceEndpoints.length, serviceEndpoints.reduce((sum, { slots }) => sum + slots, 0)]
    })),
    formatTable(['ENDPOINT', 'SERVICE', 'ZONE', 'ADDRESS', 'SLOTS'], endpoints.map(({ name, service, zone, address, slots }) => [name, service, zone, address, slots])),
    formatTable(['LINK', 'BYTES/S', 'BULK MINIMUM'], links.map(({ regions: ends, bytesPerSecond, bulkMinimum }) => [ends.join(' - '), bytesPerSecond, bulkMinimum]))
  ].join('\n\n')
}
