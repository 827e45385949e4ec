import type { Command } from 'commander'
import { responseSchemas } from '../responseSchemas.js'
import type { CommandRunner } from '../CommandRunner.js'
import { formatTable } from '../formatTable.js'

/** `config status` */
export function addConfigStatus (parent: Command, runner: CommandRunner): void {
  parent.command('status').description('show the configuration version, and which hosts confirmed it or are unreachable').action(runner.hostAction(async ({ client }) => {
    return (await client.read('config', responseSchemas.config)).map((config) => {
      const rows = config.hosts.map(({ host, zone, reachable, agentVersion, appliedVersion }) => {
        const state = !reachable ? 'cannot be reached' : appliedVersion >= config.version ? 'confirmed' : 'not yet'
        return [host, zone, state, agentVersion, appliedVersion]
      })
      const fault = config.fault == null ? [] : [`fault: ${config.fault.name}: ${config.fault.message}`]
      return {
        json: config,
        text: [`lineage ${config.lineage ?? '(none)'}, version ${config.version}, as reported by ${config.host}`, ...fault, formatTable(['HOST', 'ZONE', 'STATE', 'HELD', 'IN FORCE'], rows)].join('\n')
      }
    })
  }))
}
