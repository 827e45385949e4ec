import type { Command } from 'commander'
import { responseSchemas } from '../responseSchemas.js'
import type { CommandRunner } from '../CommandRunner.js'
import { formatTable } from '../formatTable.js'

/** `explain CUSTOMER SERVICE` */
export function addExplain (parent: Command, runner: CommandRunner): void {
  parent.command('explain').argument('<customer>').argument('<service>')
    .description('explain how the responding host would handle a request now; the request is not sent')
    .option('--method <method>', 'HTTP method', 'GET')
    .option('--path <path>', 'path below the path of the service', '/')
    .action(runner.hostAction(async ({ client }, { values: [customer, service], options }) => {
      const body = { customer, service, method: options.method, path: options.path }
      return (await client.query({ method: 'POST', path: 'explain', body }, responseSchemas.explanation)).map((explanation) => ({
        json: explanation,
        text: `At ${explanation.host}:\n${formatTable(['STEP', 'DETAIL'], explanation.steps.map(({ step, detail }) => [step, detail]))}`
      }))
    }))
}
