import type { Result } from 'neverthrow'
import { responseSchemas } from './responseSchemas.js'
import type { CommandFailure } from './CommandFailure.js'
import type { CommandContext } from './CommandContext.js'
import { pollUntilDone } from './pollUntilDone.js'

/** A drain to wait for, and the configuration version that contains it first. */
interface AwaitedDrain {
  readonly kind: string
  readonly name: string
  readonly version: number
}

/** Covers the longest request, 900 s (design 7.1), and one minute for hosts that report late. */
const defaultWaitMs = 960_000

/** Waits until every host has applied the drain and its target has no requests in flight. */
export async function waitDrained (ctx: CommandContext, { kind, name, version }: AwaitedDrain): Promise<Result<void, CommandFailure>> {
  return await pollUntilDone(ctx, defaultWaitMs, async () => (await ctx.client.read('drains', responseSchemas.drains)).map((response) => {
    const drain = response.drains.find((row) => row.kind === kind && row.name === name)
    if (drain === undefined || response.version < version) return { done: false, text: `drain ${kind} ${name}: not yet received by the responding host` }
    const pendingHosts = drain.notApplied.length > 0 ? `, not confirmed by ${drain.notApplied.join(', ')}` : ''
    return { done: drain.complete, text: `drain ${kind} ${name}: ${drain.inFlight} in flight${pendingHosts}` }
  }))
}
