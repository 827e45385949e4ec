import type { WorkClass } from '../model/WorkClass.js'

/** A request that needs an endpoint. */
export interface SteerRequest {
  readonly customer: string
  readonly service: string
  readonly workClass: WorkClass
  /** Weight against other customers, from the contract. */
  readonly priority: number
  /** Fraction of a region's slots by which traffic moved to it may grow per second, from the contract. */
  readonly moveStep: number
  /** Monotonic time in ms until which the request may wait for a slot. */
  readonly waitUntilMs: number
  /** Endpoints and hosts that earlier attempts have tried. */
  readonly excluded: ReadonlySet<string>
  /** Returns true when the contract allows one more request in flight in a region. */
  readonly allowsRegion: (region: string) => boolean
  readonly signal: AbortSignal
}
