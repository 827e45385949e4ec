import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { responseSchemas } from './responseSchemas.js'
import type { CommandFailure } from './CommandFailure.js'
import type { CommandContext } from './CommandContext.js'
import { formatTable } from './formatTable.js'
import type { Report } from './Report.js'

/**
 * Requests the status from every listed host and reports where their views differ. Each host also compares its view
 * with those of the agents that it can reach, so one listed host in each part of a partitioned network is enough.
 */
export async function compareStatus (ctx: CommandContext): Promise<Result<Report, CommandFailure>> {
  const replies = await Promise.all(ctx.client.hosts.map(async (address) => ({ address, result: await ctx.client.readFrom(address, 'status?compare=1', responseSchemas.status) })))
  const unreachable = replies.flatMap(({ address, result }) => result.isErr() ? [{ address, message: result.error.message }] : [])
  const first = replies[0]?.result
  if (unreachable.length === replies.length && first?.isErr() === true) return err(first.error)
  const statuses = replies.flatMap(({ result }) => result.isOk() ? [result.value] : [])
  const reported = statuses.flatMap(({ host: seenBy, differences = [] }) => differences.map(({ host, by, here, there }) => ({ host, seenBy, as: here, otherBy: by, otherAs: there })))
  const differences = [...reported, ...listDirectDifferences(statuses)]
  const table = formatTable(['HOST', 'SEEN BY', 'AS', 'BUT BY', 'AS'], differences.map((row) => Object.values(row)))
  const failureLines = unreachable.map(({ address, message }) => `${address}: ${message}`)
  return ok({
    json: { asked: ctx.client.hosts, silent: unreachable, differences },
    text: [differences.length === 0 ? 'The hosts that answered agree.' : table, ...failureLines].join('\n'),
    exit: differences.length === 0 && unreachable.length === 0 ? 'ok' : 'differs'
  })
}

interface HostStatus {
  readonly host: string
  readonly members: ReadonlyArray<{ readonly host: string, readonly state: string }>
}

/** Lists differences between the states reported by the first host that responded and by the others. */
function listDirectDifferences ([first, ...others]: readonly HostStatus[]): Array<{ host: string, seenBy: string, as: string, otherBy: string, otherAs: string }> {
  if (first === undefined) return []
  const states = new Map(first.members.map(({ host, state }) => [host, state]))
  return others.flatMap((other) => other.members
    .filter(({ host, state }) => states.get(host) !== state)
    .map(({ host, state }) => ({ host, seenBy: first.host, as: states.get(host) ?? 'not known', otherBy: other.host, otherAs: state })))
}
