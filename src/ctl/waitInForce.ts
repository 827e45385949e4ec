import type { Result } from 'neverthrow'
import { answers } from './answers.js'
import type { CommandFailure } from './CommandFailure.js'
import type { CtlContext } from './CtlContext.js'
import { waitUntil } from './waitUntil.js'

/** A version is in force within 6 s (design 1.1); the rest is for hosts that are just being replaced. */
const defaultWaitMs = 60_000

/** Waits until every host that can be reached has the version in force. */
export async function waitInForce (ctx: CtlContext, version: number): Promise<Result<void, CommandFailure>> {
  return await waitUntil(ctx, defaultWaitMs, async () => (await ctx.client.read('config', answers.config)).map((config) => {
    const away = config.hosts.filter(({ reachable }) => !reachable).map(({ host }) => host)
    const waiting = config.hosts.filter(({ reachable, appliedVersion }) => reachable && appliedVersion < version).map(({ host }) => host)
    const confirmed = config.hosts.length - away.length - waiting.length
    const parts = [
      `version ${version}: ${confirmed} of ${config.hosts.length} hosts confirmed`,
      ...(waiting.length > 0 ? [`waiting for ${waiting.join(', ')}`] : []),
      ...(away.length > 0 ? [`cannot be reached: ${away.join(', ')}`] : [])
    ]
    return { done: config.version >= version && waiting.length === 0 && confirmed > 0, text: parts.join('; ') }
  }))
}
