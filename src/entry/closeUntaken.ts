import { entryLimits } from './entryLimits.js'
import type { PipelinedResponse } from './PipelinedResponse.js'

/**
 * Closes the connection of a caller that doesn't take a response whose deadline has passed, which would hold its permit. A response
 * that waits for those before it has had no chance to be taken, so the caller gets some time from its turn on.
 */
export function closeUntaken (res: PipelinedResponse): void {
  if (res.writableEnded) {
    res.destroy()
    return
  }
  if (res.hasTurn) return
  res.once('socket', () => setTimeout(() => { if (!res.writableFinished) res.destroy() }, entryLimits.lingerMs).unref())
}
