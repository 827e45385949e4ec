import { ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Failure } from '../common/Failure.js'
import { MemberState } from '../model/MemberState.js'
import type { AgentState } from './AgentState.js'

/** Describes the configuration versions of the agent and of each host, and why the platform's configuration is refused or unreadable. */
export function describeConfig (state: AgentState): Result<unknown, Failure> {
  const { held, version, observedVersion } = state.holder
  const members = new Map(state.listMembers().map((member) => [member.host, member]))
  const hosts = (held?.doc.hosts ?? []).map(({ name, zone }) => {
    const member = members.get(name)
    return {
      host: name,
      zone,
      reachable: member?.state === MemberState.alive,
      agentVersion: member?.configVersion ?? 0,
      appliedVersion: member?.digest?.appliedVersion ?? 0
    }
  })
  return ok({
    host: state.host,
    lineage: held?.doc.lineage,
    version,
    heardVersion: observedVersion,
    writeId: held?.writeId,
    inForce: hosts.length > 0 && hosts.every(({ reachable, appliedVersion }) => !reachable || appliedVersion >= version),
    fault: state.getFault(),
    priorCaps: held?.doc.priorCaps.length ?? 0,
    hosts
  })
}
