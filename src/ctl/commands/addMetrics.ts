import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Command } from 'commander'
import { responseSchemas } from '../responseSchemas.js'
import type { CommandFailure } from '../CommandFailure.js'
import type { CommandRunner } from '../CommandRunner.js'
import type { CommandContext } from '../CommandContext.js'
import { parseHosts } from '../parseHosts.js'

/** `metrics [HOST]` */
export function addMetrics (parent: Command, runner: CommandRunner): void {
  parent.command('metrics').argument('[host]', 'name or a.b.c.d:port (default: the first host that responds)')
    .description('print the metrics of a host\'s agent')
    .action(runner.hostAction(async (ctx, { values: [host = ''] }) => {
      const address = await findAddress(ctx, host)
      if (address.isErr()) return err(address.error)
      const text = await ctx.client.readTextFrom(address.value, 'metrics')
      return text.map((metricsText) => ({ json: { address: address.value, metrics: metricsText }, text: metricsText.trimEnd() }))
    }))
}

async function findAddress (ctx: CommandContext, host: string): Promise<Result<string, CommandFailure>> {
  if (host === '') return await findReachableAddress(ctx)
  const parsed = parseHosts(host)
  if (parsed.isOk()) return ok(parsed.value[0]!)
  const loaded = await ctx.client.read('deployment', responseSchemas.deployment)
  if (loaded.isErr()) return err(loaded.error)
  const spec = loaded.value.deployment.hosts.find(({ name }) => name === host)
  return spec === undefined
    ? err({ exit: 'refused', message: `There is no host "${host}".`, next: 'List the hosts with "shuntctl host list".' })
    : ok(`${spec.address}:${spec.ports.operator}`)
}

async function findReachableAddress (ctx: CommandContext): Promise<Result<string, CommandFailure>> {
  let last: Result<string, CommandFailure> = ok(ctx.client.hosts[0]!)
  for (const address of ctx.client.hosts) {
    const status = await ctx.client.readFrom(address, 'status', responseSchemas.status)
    if (status.isOk()) return ok(address)
    last = err(status.error)
  }
  return last
}
