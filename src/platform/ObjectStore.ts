import type { Result } from 'neverthrow'
import type { Failure } from '../common/Failure.js'

/** Stores immutable named objects in the platform; each object is written once. */
export abstract class ObjectStore {
  /** Reads an object; undefined when it is absent. Failure: `platformUnavailable`. */
  abstract read (name: string): Promise<Result<Buffer | undefined, Failure>>

  /** Writes an object. Failures: `platformUnavailable` (not written), `writeUnknown` (may have been written). */
  abstract write (name: string, bytes: Buffer): Promise<Result<void, Failure>>
}
