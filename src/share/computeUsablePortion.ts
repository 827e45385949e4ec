import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Contract } from '../model/Contract.js'
import type { PriorCap } from '../model/PriorCap.js'
import { computePortions } from './computePortions.js'
import { emptyPortion } from './emptyPortion.js'
import type { Portion } from './Portion.js'
import { shareLimits } from './shareLimits.js'
import { splitCap } from './splitCap.js'

/** What the rule for lowered caps works on. */
interface UsablePortionInput {
  readonly doc: ConfigDoc
  readonly contract: Contract
  /** The host whose portion is computed; it runs `doc`. */
  readonly host: string
  /** Configuration version that each host is known to have in force; absent hosts count as version 0. */
  readonly appliedVersions: ReadonlyMap<string, number>
}

const resources = ['rate', 'burst', 'permits', 'regionPermits', 'upload'] as const

/**
 * Returns the part of the cap that `host` may use now. Hosts that may still run an older version keep the
 * larger of their old and new portions; the confirmed hosts divide the rest.
 *
 * Taking the larger one makes the result shrink whenever the set of unconfirmed hosts grows, also when a
 * change of hosts raises some portions; with the old portion alone the sum could exceed the cap.
 */
export function computeUsablePortion (input: UsablePortionInput): Portion {
  const portions = computePortions(input.doc, input.contract)
  const own = portions.get(input.host) ?? emptyPortion
  const kept = computeReservedPortions(input, portions)
  if (kept.size === 0) return own
  const usable = { ...own }
  for (const part of resources) usable[part] = limitResource(part, own, portions, kept)
  return usable
}

function limitResource (part: keyof Portion, own: Portion, portions: Map<string, Portion>, kept: Map<string, Portion>): number {
  let cap = 0
  let confirmed = 0
  for (const [host, portion] of portions) {
    cap += portion[part]
    if (!kept.has(host)) confirmed += portion[part]
  }
  for (const portion of kept.values()) cap -= portion[part]
  if (confirmed <= 0 || cap <= 0) return 0
  const share = cap * own[part] / confirmed
  return Math.min(own[part], part === 'rate' ? Math.floor(share * 1_000) / 1_000 : Math.floor(share + 1e-9))
}

/** Portions that unconfirmed hosts may use, by host. */
function computeReservedPortions (input: UsablePortionInput, portions: Map<string, Portion>): Map<string, Portion> {
  const kept = new Map<string, Portion>()
  for (const prior of input.doc.priorCaps) {
    if (prior.customer !== input.contract.customer) continue
    const old = computePriorPortions(input, prior)
    for (const [host, portion] of old) {
      if (host === input.host || (input.appliedVersions.get(host) ?? 0) >= prior.untilVersion) continue
      kept.set(host, maxPortion(portion, kept.get(host) ?? portions.get(host) ?? emptyPortion))
    }
  }
  return kept
}

/**
 * Old portions by host. The zones of hosts that are no longer configured are unknown, so their order is too;
 * every old host then counts with the largest portion.
 */
function computePriorPortions (input: UsablePortionInput, prior: PriorCap): Map<string, Portion> {
  const cap = { ...prior, regionShare: input.contract.regionShare }
  const zones = new Map(input.doc.hosts.map(({ name, zone }) => [name, zone]))
  if (prior.hosts.every((host) => zones.has(host))) {
    const hosts = prior.hosts.map((name) => ({ name, zone: zones.get(name) ?? '' }))
    return computePortions({ ...input.doc, hosts: hosts.map((host) => ({ ...input.doc.hosts[0]!, ...host })) }, { ...input.contract, ...cap })
  }
  const places = prior.hosts.slice(0, shareLimits.maxHomeHosts)
  const first = splitCap(cap, places).get(places[0] ?? '') ?? emptyPortion
  return new Map(prior.hosts.map((host) => [host, first]))
}

function maxPortion (a: Portion, b: Portion): Portion {
  const largest = { ...a }
  for (const part of resources) largest[part] = Math.max(a[part], b[part])
  return largest
}
