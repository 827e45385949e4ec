import type { Deployment } from '../../src/model/Deployment.js'
import type { ExampleContract } from '../cluster/ExampleContract.js'

/** Deployment, contracts and balancing policy of a baseline forwarder, read from its plan file at start. */
export interface BaselinePlan {
  readonly deployment: Deployment
  readonly contracts: readonly ExampleContract[]
  /** `random`: any endpoint; `local`: fewest requests in flight, and caps split evenly over the hosts; `passthrough`: always the nearest endpoint. */
  readonly policy: 'random' | 'local' | 'passthrough'
}
