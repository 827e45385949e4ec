import type { Result } from 'neverthrow'
import { responseSchemas } from './responseSchemas.js'
import type { CommandFailure } from './CommandFailure.js'
import type { CommandContext } from './CommandContext.js'
import { pollUntilDone } from './pollUntilDone.js'

/** A version is in force within 6 s (design 1.1); the additional time covers hosts that are being replaced. */
const defaultWaitMs = 60_000

/** Waits until the version is in force on every reachable host. */
export async function waitInForce (ctx: CommandContext, version: number): Promise<Result<void, CommandFailure>> {
  return await pollUntilDone(ctx, defaultWaitMs, async () => (await ctx.client.read('config', responseSchemas.config)).map((config) => {
    const unreachable = config.hosts.filter(({ reachable }) => !reachable).map(({ host }) => host)
    const pending = config.hosts.filter(({ reachable, appliedVersion }) => reachable && appliedVersion < version).map(({ host }) => host)
    const confirmed = config.hosts.length - unreachable.length - pending.length
    const parts = [
      `version ${version}: ${confirmed} of ${config.hosts.length} hosts confirmed`,
      ...(pending.length > 0 ? [`waiting for ${pending.join(', ')}`] : []),
      ...(unreachable.length > 0 ? [`cannot be reached: ${unreachable.join(', ')}`] : [])
    ]
    return { done: config.version >= version && pending.length === 0 && confirmed > 0, text: parts.join('; ') }
  }))
}
