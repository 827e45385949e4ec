import type { EndpointSpec } from '../model/EndpointSpec.js'
import type { HostSpec } from '../model/HostSpec.js'
import type { AttemptResult } from './AttemptResult.js'

/** Target of an attempt, with a reservation for it. `release` must be called once; further calls have no effect. */
export type SteerTarget = EndpointTarget | HostTarget

/** An endpoint that this host owns, with one of its slots reserved. */
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
