import type { ConfigHead } from './ConfigHead.js'

/** The head with the version of its row in the table service. */
export interface PlatformHead {
  /** Version of the row for compare-and-set, not of the configuration; 0 when the row is absent. */
  readonly rowVersion: number
  /** Undefined when the row is absent. */
  readonly head: ConfigHead | undefined
}
