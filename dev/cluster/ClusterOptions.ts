import type { WorkClass } from '../../src/model/WorkClass.js'
import type { Settings } from '../../src/config/Settings.js'
import type { Deployment } from '../../src/model/Deployment.js'
import type { ExampleContract } from './ExampleContract.js'

/** Options for starting a cluster. */
export interface ClusterOptions {
  readonly example: 'caroni' | 'kimberley'
  /** Second octet of all its addresses; clusters that run at once need different ones. */
  readonly network: number
  /** `project` runs the system; the others run a baseline of `dev/baselines/` as entry hosts. */
  readonly policy?: 'project' | 'random' | 'local' | 'passthrough'
  readonly seed?: number
  readonly meanServiceMs?: Partial<Record<WorkClass, number>>
  /** Level of the daemons' logs; default `warn`. */
  readonly logLevel?: 'error' | 'warn' | 'info' | 'debug'
  readonly changeDeployment?: (deployment: Deployment) => Deployment
  readonly changeContracts?: (contracts: readonly ExampleContract[]) => readonly ExampleContract[]
  readonly changeSettings?: (settings: Settings) => Settings
  /** Set to false for network delays of 0. */
  readonly delays?: boolean
  /** Lag of the platform's host list in ms; default 1 s. */
  readonly registryLagMs?: number
  /** Keeps the temporary folder with settings and logs. */
  readonly keepFolder?: boolean
  /** Whether to write the deployment and the contracts and to wait until every host is ready; default true. */
  readonly load?: boolean
}
