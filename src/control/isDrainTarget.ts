import { match } from 'ts-pattern'
import type { Deployment } from '../model/Deployment.js'
import type { DrainKind } from '../model/DrainKind.js'

/** Returns whether the deployment contains the endpoint, zone or host that a drain names. */
export function isDrainTarget (deployment: Deployment, kind: DrainKind, name: string): boolean {
  return match(kind)
    .with('upstream', () => deployment.endpoints.some((endpoint) => endpoint.name === name))
    .with('zone', () => deployment.zones.some((zone) => zone.name === name))
    .with('host', () => deployment.hosts.some((host) => host.name === name))
    .exhaustive()
}
