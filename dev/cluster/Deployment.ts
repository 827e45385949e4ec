import type { EndpointSpec } from '../../src/model/EndpointSpec.js'
import type { HostSpec } from '../../src/model/HostSpec.js'
import type { LinkSpec } from '../../src/model/LinkSpec.js'
import type { Objective } from '../../src/model/Objective.js'
import type { ServiceSpec } from '../../src/model/ServiceSpec.js'
import type { ZoneSpec } from '../../src/model/ZoneSpec.js'

/** Content of an example's deployment file, with the hosts' ports filled in. */
export interface Deployment {
  readonly lineage: string
  readonly zones: readonly ZoneSpec[]
  readonly hosts: readonly HostSpec[]
  readonly services: readonly ServiceSpec[]
  readonly endpoints: readonly EndpointSpec[]
  readonly links: readonly LinkSpec[]
  readonly objective: Objective
}
