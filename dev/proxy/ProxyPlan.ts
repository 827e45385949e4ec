import type { LinkPlan } from './LinkPlan.js'

/** Configuration of the fault-injecting proxy. */
export interface ProxyPlan {
  /** Address of the control interface. */
  readonly address: string
  readonly controlPort: number
  readonly links: readonly LinkPlan[]
  /** Bytes per second of each bandwidth group. */
  readonly groups: Readonly<Record<string, number>>
}
