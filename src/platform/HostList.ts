import type { Result } from 'neverthrow'
import type { Failure } from '../common/Failure.js'
import type { ListedHost } from './ListedHost.js'

/** The platform's list of hosts and upstreams; it lags and is only a hint. */
export abstract class HostList {
  /** Failure: `platformUnavailable`. */
  abstract read (): Promise<Result<readonly ListedHost[], Failure>>
}
