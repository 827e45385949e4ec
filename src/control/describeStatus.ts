import { ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Failure } from '../common/Failure.js'
import type { AgentState } from './AgentState.js'

/** Describes the members in this agent's table; with `compare`, also the differences from the tables of other agents. */
export async function describeStatus (state: AgentState, compare: boolean): Promise<Result<unknown, Failure>> {
  const { endpoints, hosts } = state.getLeavingListing()
  const status = {
    host: state.host,
    version: state.holder.version,
    heardVersion: state.holder.observedVersion,
    // The age is infinite before the first contact, which JSON cannot represent.
    contactAgeMs: Number.isFinite(state.getContactAgeMs()) ? Math.round(state.getContactAgeMs()) : null,
    fault: state.getFault(),
    leavingEndpoints: endpoints,
    leavingHosts: hosts,
    members: state.listMembers()
  }
  return ok(compare ? { ...status, differences: await state.compareMembers() } : status)
}
