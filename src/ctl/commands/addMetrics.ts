import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Command } from 'commander'
import { answers } from '../answers.js'
import type { CommandFailure } from '../CommandFailure.js'
import type { CommandRunner } from '../CommandRunner.js'
import type { CtlContext } from '../CtlContext.js'
import { parseHosts } from '../parseHosts.js'

/** `metrics [HOST]` */
export function addMetrics (parent: Command, runner: CommandRunner): void {
  parent.command('metrics').argument('[host]', 'name or a.b.c.d:port; default: the first host that answers')
    .description('print the metrics of a host\'s agent')
    .action(runner.online(async (ctx, { values: [host = ''] }) => {
      const address = await findAddress(ctx, host)
      if (address.isErr()) return err(address.error)
      const text = await ctx.client.readText(address.value, 'metrics')
      return text.map((page) => ({ json: { address: address.value, metrics: page }, text: page.trimEnd() }))
    }))
}

async function findAddress (ctx: CtlContext, host: string): Promise<Result<string, CommandFailure>> {
  if (host === '') return await findAnswering(ctx)
  const parsed = parseHosts(host)
  if (parsed.isOk()) return ok(parsed.value[0]!)
  const loaded = await ctx.client.read('deployment', answers.deployment)
  if (loaded.isErr()) return err(loaded.error)
  const spec = loaded.value.deployment.hosts.find(({ name }) => name === host)
  return spec === undefined
    ? err({ exit: 'refused', message: `There is no host "${host}".`, next: 'List the hosts with "shuntctl host list".' })
    : ok(`${spec.address}:${spec.ports.operator}`)
}

async function findAnswering (ctx: CtlContext): Promise<Result<string, CommandFailure>> {
  let last: Result<string, CommandFailure> = ok(ctx.client.hosts[0]!)
  for (const address of ctx.client.hosts) {
    const status = await ctx.client.readFrom(address, 'status', answers.status)
    if (status.isOk()) return ok(address)
    last = err(status.error)
  }
  return last
}
