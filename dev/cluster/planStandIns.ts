import type { Deployment } from '../../src/model/Deployment.js'
import type { LinkPlan } from '../proxy/LinkPlan.js'
import type { ProxyPlan } from '../proxy/ProxyPlan.js'
import type { StorePlan } from '../store/StorePlan.js'
import type { UpstreamPlan } from '../upstream/UpstreamPlan.js'
import type { ClusterOptions } from './ClusterOptions.js'
import { clusterPorts } from './clusterPorts.js'

/** A cluster as its stand-ins see it. */
interface StandInInputs {
  readonly options: ClusterOptions
  readonly deployment: Deployment
  readonly links: readonly LinkPlan[]
  /** Addresses of the three stand-ins. */
  readonly addresses: { readonly platform: string, readonly upstreams: string, readonly proxy: string }
}

/** Plans of the three stand-ins of a cluster. */
interface StandInPlans {
  readonly platform: StorePlan
  readonly upstreams: UpstreamPlan
  readonly proxy: ProxyPlan
}

const defaultServiceMs = { interactive: 40, order: 80, bulk: 150 }
const defaultRegistryLagMs = 1_000

/** Derives the plans of the stand-ins from a deployment; bandwidth between regions is limited in each direction. */
export function planStandIns ({ options, deployment, links, addresses }: StandInInputs): StandInPlans {
  const { zones, services, endpoints } = deployment
  const groups = deployment.links.flatMap(({ regions: [a, b], bytesPerSecond }) => [[`${a}>${b}`, bytesPerSecond], [`${b}>${a}`, bytesPerSecond]] as const)
  return {
    platform: {
      address: addresses.platform,
      port: clusterPorts.platform,
      controlPort: clusterPorts.platformControl,
      registryLagMs: options.registryLagMs ?? defaultRegistryLagMs,
      upstreams: endpoints.map(({ name }) => name)
    },
    upstreams: {
      address: addresses.upstreams,
      controlPort: clusterPorts.upstreamControl,
      seed: options.seed ?? 1,
      zones,
      services,
      endpoints,
      meanServiceMs: { ...defaultServiceMs, ...options.meanServiceMs }
    },
    proxy: { address: addresses.proxy, controlPort: clusterPorts.proxyControl, links, groups: Object.fromEntries(groups) }
  }
}
