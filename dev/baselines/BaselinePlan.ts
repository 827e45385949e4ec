import type { Deployment } from '../../src/model/Deployment.js'
import type { ExampleContract } from '../cluster/ExampleContract.js'

/** What a baseline forwarder is started with, besides the settings of its host. */
export interface BaselinePlan {
  readonly deployment: Deployment
  readonly contracts: readonly ExampleContract[]
  /** `random`: any endpoint; `local`: least in flight and an even split of the cap; `passthrough`: one endpoint. */
  readonly policy: 'random' | 'local' | 'passthrough'
}
