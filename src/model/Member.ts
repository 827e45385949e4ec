import type { Digest } from './Digest.js'
import type { MemberState } from './MemberState.js'

/** A host as seen by an agent. */
export interface Member {
  readonly host: string
  readonly zone: string
  /** Incarnation of the agent. */
  readonly incarnation: number
  /** Grows with each own heartbeat; refutes suspicion of an older one. */
  readonly seq: number
  readonly state: MemberState
  /** Highest configuration version that the agent holds. */
  readonly configVersion: number
  /** Last digest of the host's entry process; undefined before the first. */
  readonly digest?: Digest
  /** The host is alive, but the direct link from the own host to it does not work. */
  readonly linkDown?: boolean
}
