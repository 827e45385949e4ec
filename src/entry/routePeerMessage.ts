import type { Message } from '../wire/Message.js'
import type { PeerIdentity } from '../wire/PeerIdentity.js'
import type { EntryModules } from './EntryModules.js'

/** Dispatches a message of another entry process to the module for its type; other messages are ignored. */
export function routePeerMessage (
  modules: EntryModules, message: Message, peer: PeerIdentity
): Promise<Message | undefined> | Message | undefined {
  if (peer.role !== 'entry') return undefined
  if (message.t.startsWith('loan')) return modules.share.handleMessage(message, peer)
  if (message.t.startsWith('claim')) return modules.claim.handleMessage(message, peer)
  return undefined
}
