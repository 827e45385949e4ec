import type { Digest } from '../model/Digest.js'
import type { HostSpec } from '../model/HostSpec.js'
import type { MemberState } from '../model/MemberState.js'

/** An entry host that accepts requests of a customer. */
export interface Candidate {
  readonly host: HostSpec
  readonly region: string
  readonly state: MemberState
  readonly digest: Digest
}
