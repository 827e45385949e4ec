import type { ConfigHead } from './ConfigHead.js'

/** The head as the table service holds it. */
export interface PlatformHead {
  /** Version of the row, for compare-and-set; not the configuration version. 0 when the row is absent. */
  readonly rowVersion: number
  /** Undefined when the row is absent. */
  readonly head: ConfigHead | undefined
}
