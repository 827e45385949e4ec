import type { Result } from 'neverthrow'
import type { Failure } from '../common/Failure.js'
import type { CustomerUse } from '../model/CustomerUse.js'
import type { Member } from '../model/Member.js'
import type { Message } from '../wire/Message.js'
import type { ConfigHolder } from './ConfigHolder.js'
import type { ConfigWriter } from './ConfigWriter.js'
import type { MemberDifference } from './MemberDifference.js'

/** What the operators' interface sees of the agent. */
export interface AgentState {
  readonly host: string
  readonly holder: ConfigHolder
  readonly writer: ConfigWriter
  listMembers (): readonly Member[]
  /** Use per customer of a host, from its last digest. */
  listUses (host: string): readonly CustomerUse[]
  /** Age in ms of the newest exchange with another agent. */
  getContactAgeMs (): number
  /** Why the platform's configuration is refused or cannot be read now. */
  getFault (): Failure | undefined
  /** Names that the platform's list calls leaving. */
  getLeavingListing (): { readonly endpoints: readonly string[], readonly hosts: readonly string[] }
  /** Asks other agents how they see the members, and returns where they differ. */
  compareMembers (): Promise<readonly MemberDifference[]>
  /** Sends a request to the entry process of the own host. */
  requestFromEntry (message: Message): Promise<Result<Message, Failure>>
}
