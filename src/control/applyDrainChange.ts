import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Drain } from '../model/Drain.js'
import type { EndpointSpec } from '../model/EndpointSpec.js'
import type { HostSpec } from '../model/HostSpec.js'
import type { AppliedChange } from './AppliedChange.js'
import type { ChangeContext } from './ChangeContext.js'
import type { ConfigChange } from './ConfigChange.js'
import { isDrainTarget } from './isDrainTarget.js'

type DrainChange = Extract<ConfigChange, { kind: 'addDrain' | 'removeDrain' }>
type DrainTarget = Pick<Drain, 'kind' | 'name'>

/** Adds or cancels a drain. Failures: `unknownItem`, `lastUpstreams`. */
export function applyDrainChange (base: ConfigDoc, change: DrainChange, context: ChangeContext): Result<AppliedChange, Failure> {
  const { drain: kind, name } = change
  const item = `drain ${kind} ${name}`
  const existing = base.drains.find((drain) => drain.kind === kind && drain.name === name)
  const version = base.version + 1
  if (change.kind === 'removeDrain') {
    if (existing === undefined) return err(createFailure('unknownItem', { message: `There is no ${item}.` }))
    return ok({ doc: { ...base, version, drains: base.drains.filter((drain) => drain !== existing) }, change: `${item}: cancelled` })
  }
  if (!isDrainTarget(base, kind, name)) return err(createFailure('unknownItem', { message: `The configuration has no ${kind} "${name}".` }))
  const drain: Drain = existing ?? { kind, name, by: context.by, atMs: context.wallMs }
  const drains = [...base.drains.filter((other) => other !== existing), drain]
  const fullyDrained = change.force ? undefined : findFullyDrained(base, drains, context.leavingEndpoints)
  if (fullyDrained !== undefined) {
    return err(createFailure('lastUpstreams', {
      message: `The ${item} would drain the last ${fullyDrained}. Cancel another drain first, or repeat with force.`
    }))
  }
  return ok({ doc: { ...base, version, drains }, change: `${item}: announced` })
}

/** Names the upstreams or hosts of which some are available under the current drains and none under the new ones. */
function findFullyDrained (doc: ConfigDoc, drains: readonly DrainTarget[], leaving: ReadonlySet<string>): string | undefined {
  const isEndpointAvailable = (targets: readonly DrainTarget[]) => (endpoint: EndpointSpec): boolean =>
    !leaving.has(endpoint.name) && !targets.some(({ kind, name }) => kind === 'upstream' ? name === endpoint.name : kind === 'zone' && name === endpoint.zone)
  for (const { name } of doc.services) {
    const endpoints = doc.endpoints.filter((endpoint) => endpoint.service === name)
    if (endpoints.some(isEndpointAvailable(doc.drains)) && !endpoints.some(isEndpointAvailable(drains))) return `upstreams of service "${name}"`
  }
  const isHostAvailable = (targets: readonly DrainTarget[]) => (host: HostSpec): boolean =>
    !targets.some(({ kind, name }) => kind === 'host' ? name === host.name : kind === 'zone' && name === host.zone)
  return doc.hosts.some(isHostAvailable(doc.drains)) && !doc.hosts.some(isHostAvailable(drains)) ? 'entry hosts' : undefined
}
