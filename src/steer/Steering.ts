import type { Result } from 'neverthrow'
import type { Failure } from '../common/Failure.js'
import type { WorkClass } from '../model/WorkClass.js'
import type { EndpointReport } from './EndpointReport.js'
import type { SteerRequest } from './SteerRequest.js'
import type { SteerTarget } from './SteerTarget.js'

/** Chooses endpoints and owning hosts, and reserves room at decision time. */
export abstract class Steering {
  /**
   * Chooses where the next attempt of a caller's request goes, waiting for room until `waitUntilMs`.
   * Failures, all `not-run`: `noEndpoint`, `noCapacity`, `pacingLimit`, `regionShareCap`, `shed`.
   */
  abstract choose (request: SteerRequest): Promise<Result<SteerTarget, Failure>>

  /** The same for a request that another host forwarded: only endpoints that this host owns. Adds `notOwner`. */
  abstract chooseOwned (request: SteerRequest): Promise<Result<SteerTarget, Failure>>

  /** Takes in a load report; `probed` is true for the answer of a probe. */
  abstract report (endpoint: string, report: EndpointReport, probed: boolean): void

  /** Reserves bytes on the link to `region` and returns the ms to wait before they may be sent; 0 inside the region. */
  abstract reserveLinkBytes (region: string, workClass: WorkClass, bytes: number): number
}
