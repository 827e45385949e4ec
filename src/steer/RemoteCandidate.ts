import type { HostSpec } from '../model/HostSpec.js'
import type { OwnerCandidate } from './OwnerCandidate.js'

/** A candidate with the host that it stands for. */
export interface RemoteCandidate extends OwnerCandidate {
  readonly spec: HostSpec
}
