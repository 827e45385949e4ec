import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { sleep } from '../common/sleep.js'
import type { CommandFailure } from './CommandFailure.js'
import type { CommandContext } from './CommandContext.js'

/** Progress towards the state that a command waits for. */
interface Progress {
  readonly done: boolean
  /** Progress message for the operator. */
  readonly text: string
}

const pollMs = 300

/** Polls until `check` reports completion and prints its progress to stderr; continues after failures other than `denied`. */
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
      return err({ exit: 'timeout', message: `The change was accepted, but the wait timed out: ${text}`, next: 'Check "shuntctl config status" and "shuntctl drain list"; the accepted change is kept.' })
    }
    await sleep(pollMs)
  }
}
