import type { ConfigHead } from './ConfigHead.js'
import type { PlatformHead } from './PlatformHead.js'
import type { WriteOutcome } from './WriteOutcome.js'

/** A write that was sent, with the row version that it expects. */
interface WriteAttempt {
  readonly writeId: string
  readonly rowVersion: number
  /** Configuration version that the write creates if it takes effect. */
  readonly version: number
}

/**
 * Determines the outcome of a write whose response was lost. Once the row version is past the expected one, the write
 * can no longer take effect, and the log shows whether it did. If the log starts after the write, the outcome is unknown.
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
