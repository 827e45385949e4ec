import type { Socket } from 'node:net'
import type { Failure } from '../common/Failure.js'
import { hasUnreadBody } from './hasUnreadBody.js'
import type { PipelinedResponse } from './PipelinedResponse.js'

/** An accepted connection and its responses that are not complete, in the order of their requests. */
export class TrackedConnection {
  readonly openResponses = new Set<PipelinedResponse>()
  /** True once requests that arrive are neither read nor run, since the connection ends after its open responses. */
  isRefusingRequests = false
  /** Refusal of a head that could not be read; it ends the connection after the open responses. */
  finalRefusal: Failure | undefined
  /** True once a response was to close the connection but left that to the pipelined responses behind it. */
  private mustClose = false

  constructor (
    readonly socket: Socket,
    /** Monotonic time in ms since which the connection has no open request. */
    public idleSinceMs: number
  ) {}

  /** True while the body of the newest request has not arrived completely. */
  get isReadingBody (): boolean {
    return this.newest !== undefined && hasUnreadBody(this.newest.req)
  }

  /** True while the response to the newest request can announce that the connection closes, since its head is not written. */
  get canCloseWithNewest (): boolean {
    return this.newest?.headersSent === false
  }

  /**
   * Decides whether the connection stays open after a response. Callers treat requests behind a response that closes the
   * connection as not read, so only the response to the newest request may close it, unless a refusal follows it.
   */
  settleKeepAlive (res: PipelinedResponse, wantsKeepAlive: boolean): boolean {
    this.mustClose ||= !wantsKeepAlive
    if (res !== this.newest) return true
    if (this.mustClose) this.finalRefusal = undefined
    if (this.finalRefusal !== undefined) return true
    this.isRefusingRequests ||= this.mustClose
    return !this.isRefusingRequests
  }

  /** Bytes of responses that the caller has not taken yet, also of those that wait behind another one. */
  get unsentBytes (): number {
    let bytes = this.socket.writableLength
    for (const res of this.openResponses) if (res.socket === null) bytes += res.writableLength
    return bytes
  }

  private get newest (): PipelinedResponse | undefined {
    return [...this.openResponses].at(-1)
  }
}
