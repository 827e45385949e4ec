import type { Result } from 'neverthrow'
import type { Message } from '../wire/Message.js'
import type { Failure } from './Failure.js'

/** Sends messages to the entry processes of other hosts, by host name. */
export abstract class PeerMessenger {
  /** Waits for the answer; failures: `peerUnreachable` when nothing was sent, else `peerTimeout`. */
  abstract request (host: string, message: Message, timeoutMs: number): Promise<Result<Message, Failure>>

  /** Sends without an answer; false when there is no connection now. */
  abstract notify (host: string, message: Message): boolean
}
