import type { EndpointSpec } from '../model/EndpointSpec.js'
import type { HostSpec } from '../model/HostSpec.js'
import type { AttemptResult } from './AttemptResult.js'

/** Where an attempt goes, with room reserved for it. `release` must be called exactly once. */
export type SteerTarget = EndpointTarget | HostTarget

/** An endpoint that this host owns; one of its slots is reserved. */
interface EndpointTarget {
  readonly kind: 'endpoint'
  readonly endpoint: EndpointSpec
  readonly region: string
  readonly release: (result: AttemptResult, elapsedMs: number) => void
}

/** Another host that owns endpoints of the service. */
interface HostTarget {
  readonly kind: 'host'
  readonly host: HostSpec
  readonly region: string
  readonly release: (result: AttemptResult, elapsedMs: number) => void
}
