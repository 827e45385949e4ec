import type { Digest } from '../model/Digest.js'

/** True when the change from `before` to `after` must reach all hosts at once: loads may wait, these fields may not. */
export function isUrgentDigest (before: Digest | undefined, after: Digest | undefined): boolean {
  if (before === undefined || after === undefined) return before !== after
  return before.serving !== after.serving ||
    before.leaving !== after.leaving ||
    before.appliedVersion !== after.appliedVersion ||
    before.entryIncarnation !== after.entryIncarnation ||
    before.leavingEndpoints.join() !== after.leavingEndpoints.join()
}
