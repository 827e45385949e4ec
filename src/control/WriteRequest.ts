import type { ConfigChange } from './ConfigChange.js'

/** A requested change with an id that makes retries idempotent. */
export interface WriteRequest {
  readonly writeId: string
  /** Operator who requested the change. */
  readonly by: string
  readonly change: ConfigChange
}
