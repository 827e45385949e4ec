import type { Result } from 'neverthrow'
import type { Failure } from '../common/Failure.js'
import type { ListedHost } from './ListedHost.js'

/** Reads the platform's list of entry hosts and endpoints. The list may be outdated, so it is only a hint. */
export abstract class HostList {
  /** Failure: `platformUnavailable`. */
  abstract read (): Promise<Result<readonly ListedHost[], Failure>>
}
