import type { ConfigChange } from './ConfigChange.js'

/** A change that an operator asks for, under an id that makes repeats harmless. */
export interface WriteRequest {
  readonly writeId: string
  /** Operator who asks. */
  readonly by: string
  readonly change: ConfigChange
}
