import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Contract } from '../model/Contract.js'
import type { PriorCap } from '../model/PriorCap.js'
import { capFields } from './capFields.js'
import type { CapPortion } from './CapPortion.js'
import type { ChangeContext } from './ChangeContext.js'
import type { HostReach } from './HostReach.js'

/** A customer's cap before and after a change; `current` is undefined for a new contract. */
interface CapChange {
  readonly customer: string
  readonly current: Contract | undefined
  readonly next: CapPortion
}

/** Old portions of one former cap, by host. */
interface FormerCap {
  /** Hosts that applied this version or a later one have given the cap up. */
  readonly untilVersion: number
  readonly portions: ReadonlyMap<string, CapPortion>
}

/**
 * Rejects a lowered cap that is below what hosts out of reach may still use.
 * Failure: `capBelowUnreachable`, with the smallest cap that can be guaranteed now and the hosts behind it.
 */
export function checkCapGuarantee (base: ConfigDoc, change: CapChange, context: ChangeContext): Result<void, Failure> {
  const unreachable = findUnreachable(base, context.reaches)
  if (unreachable.length === 0) return ok(undefined)
  const formerCaps = listFormerCaps(base, change, context)
  for (const field of capFields) {
    if (change.current !== undefined && change.next[field] >= change.current[field]) continue
    const held = unreachable.map((reach) => ({ host: reach.host, amount: findLargestPortion(formerCaps, reach, field) }))
    const smallest = held.reduce((sum, { amount }) => sum + amount, 0)
    if (change.next[field] >= smallest) continue
    const hosts = held.filter(({ amount }) => amount > 0).map(({ host, amount }) => `${host} (${amount})`).join(', ')
    return err(createFailure('capBelowUnreachable', {
      message: `The smallest ${field} that can be guaranteed for "${change.customer}" now is ${smallest}, held by hosts that cannot be reached: ${hosts}. ` +
        `Set ${field} to ${smallest} or more, or wait until the hosts are back or removed from the deployment.`
    }))
  }
  return ok(undefined)
}

function findUnreachable (base: ConfigDoc, reaches: readonly HostReach[]): HostReach[] {
  const byName = new Map(reaches.map((reach) => [reach.host, reach]))
  const names = new Set([...base.hosts.map(({ name }) => name), ...base.priorCaps.flatMap(({ hosts }) => hosts)])
  return [...names]
    .map((host) => byName.get(host) ?? { host, reachable: false, appliedVersion: 0 })
    .filter(({ reachable }) => !reachable)
}

function listFormerCaps (base: ConfigDoc, { customer, current }: CapChange, { computePortions }: ChangeContext): FormerCap[] {
  const former = base.priorCaps
    .filter((prior) => prior.customer === customer)
    .map((prior) => ({ untilVersion: prior.untilVersion, portions: computePriorPortions(base, prior, computePortions) }))
  if (current === undefined) return former
  return [...former, { untilVersion: base.version + 1, portions: computePortions(base, current) }]
}

/** A host that was removed keeps its place in the old division; only its name matters there. */
function computePriorPortions (base: ConfigDoc, prior: PriorCap, computePortions: ChangeContext['computePortions']): ReadonlyMap<string, CapPortion> {
  const [template] = base.hosts
  if (template === undefined) return new Map()
  const known = new Map(base.hosts.map((host) => [host.name, host]))
  const hosts = prior.hosts.map((name) => known.get(name) ?? { ...template, name })
  const { customer, rate, burst, concurrency, uploadBytesPerSecond } = prior
  const contract: Contract = {
    customer, rate, burst, concurrency, uploadBytesPerSecond, version: 0, credentialHashes: [], services: [], regionShare: 1, moveStep: 1, priority: 1
  }
  return computePortions({ ...base, hosts }, contract)
}

function findLargestPortion (formerCaps: readonly FormerCap[], reach: HostReach, field: typeof capFields[number]): number {
  const amounts = formerCaps
    .filter(({ untilVersion }) => untilVersion > reach.appliedVersion)
    .map(({ portions }) => portions.get(reach.host)?.[field] ?? 0)
  return Math.max(0, ...amounts)
}
