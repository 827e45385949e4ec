import type { Digest } from './Digest.js'
import type { MemberState } from './MemberState.js'

/** A host as seen by an agent. */
export interface Member {
  readonly host: string
  readonly zone: string
  /** Incarnation of the agent. */
  readonly incarnation: number
  /** Heartbeat sequence number of the agent; a higher number refutes a suspicion that carries a lower one. */
  readonly seq: number
  readonly state: MemberState
  /** Version of the configuration that the agent holds. */
  readonly configVersion: number
  /** Last digest of the host's entry process; undefined until the first one arrives. */
  readonly digest?: Digest
  /** True when the direct link from the observing host does not work; absent otherwise. */
  readonly linkDown?: boolean
}
