import type { WorkClass } from '../model/WorkClass.js'

/** A request that needs an endpoint. */
export interface SteerRequest {
  readonly customer: string
  readonly service: string
  readonly workClass: WorkClass
  /** Contract's weight against other customers. */
  readonly priority: number
  /** Contract's step for moves between regions, per second. */
  readonly moveStep: number
  /** Monotonic time in ms until which the request may wait for a slot. */
  readonly waitUntilMs: number
  /** Endpoints and hosts that an earlier attempt has tried. */
  readonly excluded: ReadonlySet<string>
  /** Tells whether the contract allows one more request in flight in a region. */
  readonly allowsRegion: (region: string) => boolean
  readonly signal: AbortSignal
}
