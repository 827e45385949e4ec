import type { ConfigHead } from './ConfigHead.js'
import type { PlatformHead } from './PlatformHead.js'
import type { WriteOutcome } from './WriteOutcome.js'

/** The head that a write expected when it was sent. */
interface WriteAttempt {
  readonly writeId: string
  readonly rowVersion: number
  /** Configuration version that the write would have made. */
  readonly version: number
}

/**
 * Determines what became of a write whose response was lost. Once the row has moved past the expected version, the
 * write can no longer take effect, and the log tells whether it did; a log that starts later tells nothing.
 */
export function resolveWriteOutcome (attempt: WriteAttempt, { rowVersion, head }: PlatformHead): WriteOutcome {
  const entry = head === undefined ? undefined : findWrite(head, attempt.writeId)
  if (entry !== undefined) return { outcome: 'accepted', receipt: entry }
  const logCoversAttempt = (head?.log[0]?.version ?? Infinity) <= attempt.version
  return rowVersion > attempt.rowVersion && logCoversAttempt ? { outcome: 'not-run' } : { outcome: 'unknown' }
}

function findWrite (head: ConfigHead, writeId: string): ConfigHead['log'][number] | undefined {
  return head.log.find((entry) => entry.writeId === writeId)
}
