import { err } from 'neverthrow'
import type { Command } from 'commander'
import { parseDeployment } from '../../config/parseDeployment.js'
import { applyWrite } from '../applyWrite.js'
import type { CommandRunner } from '../CommandRunner.js'
import { readDocument } from '../readDocument.js'
import { reportWrite } from '../reportWrite.js'

/** `deployment apply FILE` */
export function addDeploymentApply (parent: Command, runner: CommandRunner): void {
  parent.command('apply').argument('<file>')
    .description('create the deployment, or replace its hosts, services, endpoints and links')
    .option('--force', 'also remove unreachable hosts; make sure that they are stopped')
    .action(runner.hostAction(async (ctx, { values: [file = ''] }) => {
      const deployment = readDocument(file, parseDeployment)
      if (deployment.isErr()) return err(deployment.error)
      const applied = await applyWrite(ctx, { method: 'PUT', path: 'deployment', body: { deployment: deployment.value, force: ctx.force } })
      return applied.isErr() ? err(applied.error) : await reportWrite(ctx, applied.value)
    }))
}
