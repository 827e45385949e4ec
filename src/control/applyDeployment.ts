import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { checkContractServices } from '../config/checkContractServices.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { AppliedChange } from './AppliedChange.js'
import type { ChangeContext } from './ChangeContext.js'
import type { ConfigChange } from './ConfigChange.js'
import type { Deployment } from '../model/Deployment.js'
import { describeConflict } from './describeConflict.js'
import { isDrainTarget } from './isDrainTarget.js'
import { updatePriorCaps } from './updatePriorCaps.js'

type DeploymentChange = Extract<ConfigChange, { kind: 'deployment' }>

/** Applies the first deployment, or replaces the zones, hosts, services, endpoints, links and objective of the current one. */
export function applyDeployment (base: ConfigDoc | undefined, change: DeploymentChange, context: ChangeContext): Result<AppliedChange, Failure> {
  const { deployment, expectVersion } = change
  if (expectVersion !== undefined && expectVersion !== (base?.version ?? 0)) {
    return err(describeConflict('deployment', { expected: expectVersion, actual: base?.version ?? 0 }, context.log))
  }
  const current = base ?? { ...deployment, version: 0, contracts: [], drains: [], priorCaps: [] }
  return checkHosts(current, change, context).andThen((unreachable) => {
    const doc = buildDocument(current, deployment, unreachable, context)
    return checkContracts(doc).map(() => ({ doc, change: `deployment: ${doc.hosts.length} hosts, ${doc.endpoints.length} endpoints` }))
  })
}

/** Checks the lineage, zones and removal of hosts; returns the removed hosts that are unreachable, which only `force` permits. */
function checkHosts (
  current: ConfigDoc, { deployment, force }: DeploymentChange, { reachability }: ChangeContext
): Result<ReadonlySet<string>, Failure> {
  if (current.lineage !== deployment.lineage) {
    return err(createFailure('invalidDocument', { message: `The lineage is "${current.lineage}" and cannot become "${deployment.lineage}".` }))
  }
  const next = new Map(deployment.hosts.map((host) => [host.name, host]))
  const moved = current.hosts.find(({ name, zone }) => next.has(name) && next.get(name)?.zone !== zone)
  if (moved !== undefined) {
    // Portions under prior caps are computed from host names and zones, so a host must keep its zone.
    return err(createFailure('invalidDocument', { message: `Host "${moved.name}" cannot change its zone; remove it and add a host with another name.` }))
  }
  const removed = current.hosts.map(({ name }) => name).filter((name) => !next.has(name))
  const unreachable = removed.filter((name) => !reachability.some(({ host, reachable }) => host === name && reachable))
  if (unreachable.length > 0 && !force) {
    return err(createFailure('capBelowUnreachable', {
      message: `Removed hosts cannot be reached and may still admit requests: ${unreachable.join(', ')}. Make sure that they are stopped, then repeat with force.`
    }))
  }
  return ok(new Set(unreachable))
}

/** Builds the next document. Prior caps exclude the unreachable hosts: by using `force` the operator confirms that they are stopped. */
function buildDocument (current: ConfigDoc, deployment: Deployment, unreachable: ReadonlySet<string>, { reachability }: ChangeContext): ConfigDoc {
  const hostsChanged = !hasSameNames(current, deployment)
  const priorCaps = updatePriorCaps(current, hostsChanged ? current.contracts : [], reachability)
    .map((prior) => ({ ...prior, hosts: prior.hosts.filter((host) => !unreachable.has(host)) }))
    .filter(({ hosts }) => hosts.length > 0)
  const drains = current.drains.filter(({ kind, name }) => isDrainTarget(deployment, kind, name))
  return { ...current, ...deployment, version: current.version + 1, drains, priorCaps }
}

function checkContracts (doc: ConfigDoc): Result<void, Failure> {
  for (const contract of doc.contracts) {
    const [problem] = checkContractServices(contract, doc.services)
    if (problem !== undefined) {
      return err(createFailure('invalidDocument', { message: `The contract "${contract.customer}" does not fit the deployment: ${problem.message}. Change the contract first.` }))
    }
  }
  return ok(undefined)
}

function hasSameNames (a: Deployment, b: Deployment): boolean {
  const names = new Set(a.hosts.map(({ name }) => name))
  return a.hosts.length === b.hosts.length && b.hosts.every(({ name }) => names.has(name))
}
