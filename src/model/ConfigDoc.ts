import type { Contract } from './Contract.js'
import type { Drain } from './Drain.js'
import type { EndpointSpec } from './EndpointSpec.js'
import type { HostSpec } from './HostSpec.js'
import type { LinkSpec } from './LinkSpec.js'
import type { Objective } from './Objective.js'
import type { PriorCap } from './PriorCap.js'
import type { ServiceSpec } from './ServiceSpec.js'
import type { ZoneSpec } from './ZoneSpec.js'

/** One accepted version of the whole configuration; immutable. */
export interface ConfigDoc {
  /** Identifies the deployment's version history; hosts reject documents of another lineage. */
  readonly lineage: string
  readonly version: number
  readonly zones: readonly ZoneSpec[]
  readonly hosts: readonly HostSpec[]
  readonly services: readonly ServiceSpec[]
  readonly endpoints: readonly EndpointSpec[]
  readonly links: readonly LinkSpec[]
  readonly objective: Objective
  readonly contracts: readonly Contract[]
  readonly drains: readonly Drain[]
  /** Replaced caps that some hosts may still apply. */
  readonly priorCaps: readonly PriorCap[]
}
