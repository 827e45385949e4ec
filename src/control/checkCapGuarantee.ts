import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Contract } from '../model/Contract.js'
import type { PriorCap } from '../model/PriorCap.js'
import { emptyPortion } from '../share/emptyPortion.js'
import type { Portion } from '../share/Portion.js'
import { capFields } from './capFields.js'
import type { ChangeContext } from './ChangeContext.js'
import type { HostReachability } from './HostReachability.js'

/** The limits that are divided among hosts. */
type Cap = Pick<Contract, typeof capFields[number]['field']>

/** A customer's cap before and after a change; `current` is undefined for a new contract. */
interface CapChange {
  readonly customer: string
  readonly current: Contract | undefined
  readonly next: Cap
}

/** Portions of a former cap by host. */
interface FormerCap {
  /** Hosts that applied this version or a later one no longer use the cap. */
  readonly untilVersion: number
  readonly portions: ReadonlyMap<string, Portion>
}

const roundingError = 1e-6

/**
 * Rejects a lowered cap that is below the sum of the portions that unreachable hosts may still use.
 * Failure: `capBelowUnreachable`, with the smallest cap that can be guaranteed now and the hosts that determine it.
 */
export function checkCapGuarantee (base: ConfigDoc, change: CapChange, context: ChangeContext): Result<void, Failure> {
  const unreachable = findUnreachable(base, context.reachability)
  if (unreachable.length === 0) return ok(undefined)
  const formerCaps = listFormerCaps(base, change, context)
  for (const { field, portionField } of capFields) {
    if (change.current !== undefined && change.next[field] >= change.current[field]) continue
    const held = unreachable.map((candidate) => ({ host: candidate.host, amount: findLargestAmount(formerCaps, candidate, portionField) }))
    // Rates are divided in steps of 0.001, so their sum may have a rounding error.
    const smallest = Math.ceil(held.reduce((sum, { amount }) => sum + amount, 0) - roundingError)
    if (change.next[field] >= smallest) continue
    const hosts = held.filter(({ amount }) => amount > 0).map(({ host, amount }) => `${host} (${amount})`).join(', ')
    return err(createFailure('capBelowUnreachable', {
      message: `The smallest ${field} that can be guaranteed for "${change.customer}" now is ${smallest}, held by hosts that cannot be reached: ${hosts}. ` +
        `Set ${field} to ${smallest} or more, or wait until the hosts are back or removed from the deployment.`
    }))
  }
  return ok(undefined)
}

function findUnreachable (base: ConfigDoc, reachability: readonly HostReachability[]): HostReachability[] {
  const byName = new Map(reachability.map((candidate) => [candidate.host, candidate]))
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

/**
 * Returns the portions of a prior cap by host. The zone of a host that is no longer configured is unknown, and the division
 * depends on it; in this case every host is counted with the largest portion, as in `computeUsablePortion`.
 */
function computePriorPortions (base: ConfigDoc, prior: PriorCap, computePortions: ChangeContext['computePortions']): ReadonlyMap<string, Portion> {
  const [template] = base.hosts
  if (template === undefined) return new Map()
  const known = new Map(base.hosts.map((host) => [host.name, host]))
  const hosts = prior.hosts.map((name) => known.get(name) ?? { ...template, name })
  const { customer, rate, burst, concurrency, uploadBytesPerSecond } = prior
  const contract: Contract = {
    customer, rate, burst, concurrency, uploadBytesPerSecond, version: 0, credentialHashes: [], services: [], regionShare: 1, moveStep: 1, priority: 1
  }
  const portions = computePortions({ ...base, hosts }, contract)
  if (prior.hosts.every((name) => known.has(name))) return portions
  const largest = combineLargest([...portions.values()])
  return new Map(prior.hosts.map((name) => [name, largest]))
}

function combineLargest (portions: readonly Portion[]): Portion {
  const largest = { ...emptyPortion }
  for (const portion of portions) {
    for (const { portionField } of capFields) largest[portionField] = Math.max(largest[portionField], portion[portionField])
  }
  return largest
}

function findLargestAmount (
  formerCaps: readonly FormerCap[], candidate: HostReachability, portionField: typeof capFields[number]['portionField']
): number {
  const amounts = formerCaps
    .filter(({ untilVersion }) => untilVersion > candidate.appliedVersion)
    .map(({ portions }) => portions.get(candidate.host)?.[portionField] ?? 0)
  return Math.max(0, ...amounts)
}
