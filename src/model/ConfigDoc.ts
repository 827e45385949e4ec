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
  /** Identifies the deployment's history; a document of another lineage is refused. */
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
  /** Replaced caps that some host may not have given up yet. */
  readonly priorCaps: readonly PriorCap[]
}
