import type { HostSpec } from '../model/HostSpec.js'
import type { OwnerCandidate } from './OwnerCandidate.js'

/** A candidate that is another host, with its configuration. */
export interface RemoteCandidate extends OwnerCandidate {
  readonly spec: HostSpec
}
