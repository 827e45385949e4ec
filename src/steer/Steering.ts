import type { Result } from 'neverthrow'
import type { Failure } from '../common/Failure.js'
import type { WorkClass } from '../model/WorkClass.js'
import type { EndpointReport } from './EndpointReport.js'
import type { SteerRequest } from './SteerRequest.js'
import type { SteerTarget } from './SteerTarget.js'

/** Chooses an endpoint or an owning host for each attempt and reserves a slot with the decision. */
export abstract class Steering {
  /**
   * Chooses the target for the next attempt of a caller's request. Waits for a slot until `waitUntilMs`.
   * Failures, all `not-run`: `noEndpoint`, `noCapacity`, `pacingLimit`, `regionShareCap`, `shed`.
   */
  abstract choose (request: SteerRequest): Promise<Result<SteerTarget, Failure>>

  /** Chooses among the endpoints that this host owns, for a request that another host forwarded. Can also fail with `notOwner`. */
  abstract chooseOwned (request: SteerRequest): Promise<Result<SteerTarget, Failure>>

  /** Applies a load report; `isProbe` is true when it came with the answer to a probe. */
  abstract recordReport (endpoint: string, report: EndpointReport, isProbe: boolean): void

  /** Reserves bytes on the link to `region` and returns the ms to wait before they may be sent; 0 inside the region. */
  abstract reserveLinkBytes (region: string, workClass: WorkClass, bytes: number): number
}
