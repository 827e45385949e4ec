import type { Result } from 'neverthrow'
import type { Failure } from '../common/Failure.js'
import type { CustomerUsage } from '../model/CustomerUsage.js'
import type { Member } from '../model/Member.js'
import type { Message } from '../wire/Message.js'
import type { ConfigHolder } from './ConfigHolder.js'
import type { ConfigWriter } from './ConfigWriter.js'
import type { MemberDifference } from './MemberDifference.js'

/** State and operations of the agent that the operators' interface uses. */
export interface AgentState {
  readonly host: string
  readonly holder: ConfigHolder
  readonly writer: ConfigWriter
  listMembers (): readonly Member[]
  /** Returns the use per customer on a host, from its last digest. */
  listUses (host: string): readonly CustomerUsage[]
  /** Returns the time in ms since the last exchange with another agent. */
  getContactAgeMs (): number
  /** Returns why the platform's configuration is refused or cannot be read; undefined when there is no fault. */
  getFault (): Failure | undefined
  /** Returns the endpoints and hosts that the platform lists as leaving. */
  getLeavingListing (): { readonly endpoints: readonly string[], readonly hosts: readonly string[] }
  /** Requests the member tables of other agents and returns the differences from the own table. */
  compareMembers (): Promise<readonly MemberDifference[]>
  /** Sends a request to the entry process on the same host. */
  requestFromEntry (message: Message): Promise<Result<Message, Failure>>
}
