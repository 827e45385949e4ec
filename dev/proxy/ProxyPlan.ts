import type { LinkPlan } from './LinkPlan.js'

/** What the fault-injecting proxy is started with. */
export interface ProxyPlan {
  /** Address of the control interface. */
  readonly address: string
  readonly controlPort: number
  readonly links: readonly LinkPlan[]
  /** Bytes per second of each bandwidth group. */
  readonly groups: Readonly<Record<string, number>>
}
