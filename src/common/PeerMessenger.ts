import type { Result } from 'neverthrow'
import type { Message } from '../wire/Message.js'
import type { Failure } from './Failure.js'

/** Sends messages to the entry processes of other hosts, by host name. */
export abstract class PeerMessenger {
  /** Sends a request and waits for the response. Failures: `peerUnreachable` when nothing was sent, else `peerTimeout`. */
  abstract request (host: string, message: Message, timeoutMs: number): Promise<Result<Message, Failure>>

  /** Sends a message without a response; returns false when there is no connection. */
  abstract notify (host: string, message: Message): boolean
}
