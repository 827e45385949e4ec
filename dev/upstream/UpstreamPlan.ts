import type { EndpointSpec } from '../../src/model/EndpointSpec.js'
import type { ServiceSpec } from '../../src/model/ServiceSpec.js'
import type { WorkClass } from '../../src/model/WorkClass.js'
import type { ZoneSpec } from '../../src/model/ZoneSpec.js'

/** Configuration of the upstream stand-in. */
export interface UpstreamPlan {
  /** Address of the control interface. */
  readonly address: string
  readonly controlPort: number
  readonly seed: number
  readonly zones: readonly ZoneSpec[]
  readonly services: readonly ServiceSpec[]
  readonly endpoints: readonly EndpointSpec[]
  /** Mean service time in ms per work class. */
  readonly meanServiceMs: Readonly<Record<WorkClass, number>>
}
