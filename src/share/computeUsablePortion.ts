import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Contract } from '../model/Contract.js'
import type { PriorCap } from '../model/PriorCap.js'
import { computePortions } from './computePortions.js'
import { emptyPortion } from './emptyPortion.js'
import type { Portion } from './Portion.js'
import { shareLimits } from './shareLimits.js'
import { splitCap } from './splitCap.js'

/** Input of the computation of a usable portion. */
interface UsablePortionInput {
  readonly doc: ConfigDoc
  readonly contract: Contract
  /** The host whose portion is computed; `doc` is in force there. */
  readonly host: string
  /** Configuration version that each host last reported as in force; absent hosts count as version 0. */
  readonly appliedVersions: ReadonlyMap<string, number>
}

const resources = ['rate', 'burst', 'permits', 'regionPermits', 'upload'] as const

/**
 * Returns the part of the cap that `host` may use now. For hosts that may still run an older version, the larger of
 * their old and new portions is reserved; the confirmed hosts divide the remainder.
 *
 * The larger portion is reserved so that the result shrinks whenever the set of unconfirmed hosts grows, also when a
 * change of hosts raises some portions. With the old portion alone, the sum over all hosts could exceed the cap.
 */
export function computeUsablePortion (input: UsablePortionInput): Portion {
  const portions = computePortions(input.doc, input.contract)
  const own = portions.get(input.host) ?? emptyPortion
  const reserved = computeReservedPortions(input, portions)
  if (reserved.size === 0) return own
  const usable = { ...own }
  for (const resource of resources) usable[resource] = limitResource(resource, own, portions, reserved)
  return usable
}

function limitResource (resource: keyof Portion, own: Portion, portions: Map<string, Portion>, reserved: Map<string, Portion>): number {
  let cap = 0
  let confirmed = 0
  for (const [host, portion] of portions) {
    cap += portion[resource]
    if (!reserved.has(host)) confirmed += portion[resource]
  }
  for (const portion of reserved.values()) cap -= portion[resource]
  if (confirmed <= 0 || cap <= 0) return 0
  const usable = cap * own[resource] / confirmed
  return Math.min(own[resource], resource === 'rate' ? Math.floor(usable * 1_000) / 1_000 : Math.floor(usable + 1e-9))
}

/** Computes the portions that unconfirmed hosts may use, by host. */
function computeReservedPortions (input: UsablePortionInput, portions: Map<string, Portion>): Map<string, Portion> {
  const reserved = new Map<string, Portion>()
  for (const prior of input.doc.priorCaps) {
    if (prior.customer !== input.contract.customer) continue
    const old = computePriorPortions(input, prior)
    for (const [host, portion] of old) {
      if (host === input.host || (input.appliedVersions.get(host) ?? 0) >= prior.untilVersion) continue
      reserved.set(host, maxPortion(portion, reserved.get(host) ?? portions.get(host) ?? emptyPortion))
    }
  }
  return reserved
}

/**
 * Computes the old portions by host. When one of the hosts is no longer configured, its zone and therefore the old
 * ranking are unknown; every old host then counts with the largest portion.
 */
function computePriorPortions (input: UsablePortionInput, prior: PriorCap): Map<string, Portion> {
  const cap = { ...prior, regionShare: input.contract.regionShare }
  const zones = new Map(input.doc.hosts.map(({ name, zone }) => [name, zone]))
  if (prior.hosts.every((host) => zones.has(host))) {
    const hosts = prior.hosts.map((name) => ({ name, zone: zones.get(name) ?? '' }))
    return computePortions({ ...input.doc, hosts: hosts.map((host) => ({ ...input.doc.hosts[0]!, ...host })) }, { ...input.contract, ...cap })
  }
  const homes = prior.hosts.slice(0, shareLimits.maxHomeHosts)
  const largest = splitCap(cap, homes).get(homes[0] ?? '') ?? emptyPortion
  return new Map(prior.hosts.map((host) => [host, largest]))
}

function maxPortion (a: Portion, b: Portion): Portion {
  const largest = { ...a }
  for (const resource of resources) largest[resource] = Math.max(a[resource], b[resource])
  return largest
}
