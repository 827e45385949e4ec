import { setTimeout as sleep } from 'node:timers/promises'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { CommandFailure } from './CommandFailure.js'
import type { CommandContext } from './CommandContext.js'

/** Progress of what a command waits for. */
interface Progress {
  readonly done: boolean
  /** State for the operator. */
  readonly text: string
}

const pollMs = 300

/** Polls until `check` is done, with progress on stderr; hosts that don't answer are asked again. */
export async function pollUntilDone (ctx: CommandContext, defaultTimeoutMs: number, check: () => Promise<Result<Progress, CommandFailure>>): Promise<Result<void, CommandFailure>> {
  const endMs = ctx.clock.nowMs() + (ctx.timeoutMs ?? defaultTimeoutMs)
  let lastText = ''
  for (;;) {
    const progress = await check()
    const text = progress.isOk() ? progress.value.text : progress.error.message
    if (text !== lastText) ctx.printNotice(text)
    lastText = text
    if (progress.isOk() && progress.value.done) return ok(undefined)
    if (progress.isErr() && progress.error.exit === 'denied') return err(progress.error)
    if (ctx.clock.nowMs() + pollMs > endMs) {
      return err({ exit: 'timeout', message: `The change is accepted, but after the timeout: ${text}`, next: 'Look at "shuntctl config status" and "shuntctl drain list"; the change stays in force.' })
    }
    await sleep(pollMs)
  }
}
