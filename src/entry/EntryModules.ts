import type { Claims } from '../claim/Claims.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { EndpointSpec } from '../model/EndpointSpec.js'
import type { ServiceLoad } from '../model/ServiceLoad.js'
import type { View } from '../model/View.js'
import type { AdmissionController } from '../share/AdmissionController.js'
import type { Steering } from '../steer/Steering.js'
import type { Message } from '../wire/Message.js'
import type { PeerIdentity } from '../wire/PeerIdentity.js'

/** The interface of a policy module towards the daemon. */
interface PolicyModule {
  setConfig: (doc: ConfigDoc) => void
  setView: (view: View) => void
  tick: (nowMs: number) => void
  /** Hands over the state that other hosts can take over; requests in flight continue. */
  prepareStop: () => unknown
}

/** A module that exchanges messages with the same module of other hosts. */
interface PeerModule extends PolicyModule {
  handleMessage: (message: Message, peer: PeerIdentity) => Promise<Message | undefined> | Message | undefined
}

/** Methods of the steering module that the daemon uses outside the data path. */
interface SteerModule extends PolicyModule {
  takeDueProbes: (nowMs: number) => EndpointSpec[]
  recordProbeFailure: (endpoint: string) => void
  listLoads: () => ServiceLoad[]
  listLeavingEndpoints: () => string[]
  drainInFlight: () => Record<string, number>
  explain: (service: string) => Array<{ step: string, detail: string }>
}

/** The policy modules of an entry process. */
export interface EntryModules {
  /** `appliedVersion` is the version of the configuration whose limits are in force. */
  readonly share: AdmissionController & PeerModule & { readonly appliedVersion: number }
  readonly claim: Claims & PeerModule
  readonly steer: Steering & SteerModule
}
