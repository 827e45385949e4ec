import type { Digest } from '../model/Digest.js'

/**
 * Returns whether the change from `before` to `after` must be sent to all hosts at once.
 * Changes of loads alone can wait; changes of the fields compared here cannot.
 */
export function isUrgentDigestChange (before: Digest | undefined, after: Digest | undefined): boolean {
  if (before === undefined || after === undefined) return before !== after
  return before.serving !== after.serving ||
    before.leaving !== after.leaving ||
    before.appliedVersion !== after.appliedVersion ||
    before.entryIncarnation !== after.entryIncarnation ||
    before.leavingEndpoints.join() !== after.leavingEndpoints.join()
}
