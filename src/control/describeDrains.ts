import { match } from 'ts-pattern'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Drain } from '../model/Drain.js'
import type { Member } from '../model/Member.js'
import { MemberState } from '../model/MemberState.js'
import type { AgentState } from './AgentState.js'

/** Describes the drains and the requests still in flight on what they drain, from the hosts' last digests. */
export function describeDrains (doc: ConfigDoc, state: AgentState): unknown {
  const members = state.listMembers()
  const drains = doc.drains.map((drain) => {
    const endpoints = listEndpoints(doc, drain)
    const hosts = listHosts(doc, drain)
    const inFlight = sumInFlight(members, endpoints) + members.filter(({ host }) => hosts.has(host)).reduce((sum, { digest }) => sum + (digest?.inFlight ?? 0), 0)
    const waiting = members.filter(({ state: memberState, digest }) => memberState === MemberState.alive && (digest?.appliedVersion ?? 0) < doc.version)
    return { ...drain, inFlight, notApplied: waiting.map(({ host }) => host), complete: inFlight === 0 && waiting.length === 0 }
  })
  return { version: doc.version, drains, listed: state.getLeavingListing() }
}

function listEndpoints (doc: ConfigDoc, { kind, name }: Drain): ReadonlySet<string> {
  return match(kind)
    .with('upstream', () => new Set([name]))
    .with('zone', () => new Set(doc.endpoints.filter(({ zone }) => zone === name).map((endpoint) => endpoint.name)))
    .with('host', () => new Set<string>())
    .exhaustive()
}

/** Returns the hosts of a host drain; the progress of other drains is measured on endpoints. */
function listHosts (doc: ConfigDoc, { kind, name }: Drain): ReadonlySet<string> {
  return new Set(doc.hosts.filter((host) => kind === 'host' && host.name === name).map((host) => host.name))
}

function sumInFlight (members: readonly Member[], endpoints: ReadonlySet<string>): number {
  let sum = 0
  for (const { digest } of members) {
    for (const [endpoint, inFlight] of Object.entries(digest?.drainInFlight ?? {})) {
      if (endpoints.has(endpoint)) sum += inFlight
    }
  }
  return sum
}
