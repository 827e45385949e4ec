import type { Socket } from 'node:net'
import type { Failure } from '../common/Failure.js'
import type { ArrivedRequest } from './ArrivedRequest.js'
import { discardInput } from './discardInput.js'
import { entryLimits } from './entryLimits.js'
import { hasUnreadBody } from './hasUnreadBody.js'
import type { PipelinedResponse } from './PipelinedResponse.js'

/** An accepted connection and its responses that are not complete, in the order of their requests. */
export class TrackedConnection {
  readonly openResponses = new Set<PipelinedResponse>()
  /** Requests that have been read and are not handled yet, in order; they follow those of the open responses. */
  readonly held: ArrivedRequest[] = []
  /** True once requests that arrive are neither read nor run, since the connection ends after its open responses. */
  isRefusingRequests = false
  /** Refusal of a head that could not be read; it ends the connection after the open responses. */
  finalRefusal: Failure | undefined
  /** True once a response was to close the connection but left that to the pipelined responses behind it. */
  private mustClose = false
  private isHolding = false
  private isDiscarding = false

  constructor (
    readonly socket: Socket,
    /** Monotonic time in ms since which the connection has no open request. */
    public idleSinceMs: number
  ) {}

  /** True while the body of the newest request has not arrived completely. */
  get isReadingBody (): boolean {
    return this.newest !== undefined && hasUnreadBody(this.newest.req)
  }

  /** True when bytes that arrive belong to the head of a request behind open ones. */
  get isWithinHead (): boolean {
    return this.newest !== undefined && !this.isReadingBody
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
    return this.socket.writableLength + this.waitingBytes
  }

  /**
   * True while a further request must be held. Like the back-pressure of Node.js, this bounds the memory of responses that wait for
   * their turn: once a request has found too many bytes waiting, those behind it are not handled until fewer wait. The connection
   * is read all the while, since the end of the caller is not noticed otherwise.
   */
  get mustHold (): boolean {
    if (this.held.length === 0 && !this.hasManyWaiting) this.isHolding = false
    return this.isHolding
  }

  /** True when a held request may be handled. */
  get canReleaseHeld (): boolean {
    return this.held.length > 0 && !this.isRefusingRequests && !this.hasManyWaiting && this.openResponses.size < entryLimits.maxPipelinedRequests
  }

  /** Runs neither this request nor those that are held or still arrive; the connection ends after its open responses. */
  refuse ({ req }: ArrivedRequest): void {
    this.isRefusingRequests = true
    // Nothing behind a body that nobody takes would be read, not even the end of the caller.
    req.resume()
    if (this.isDiscarding) return
    this.isDiscarding = true
    discardInput(this.socket)
  }

  /** Adds the response to a request that is handled from now on. */
  open (res: PipelinedResponse): void {
    this.isHolding ||= this.hasManyWaiting
    this.openResponses.add(res)
  }

  private get hasManyWaiting (): boolean {
    return this.waitingBytes >= entryLimits.maxWaitingBytes
  }

  private get waitingBytes (): number {
    let bytes = 0
    for (const res of this.openResponses) bytes += res.waitingBytes
    return bytes
  }

  private get newest (): PipelinedResponse | undefined {
    return [...this.openResponses].at(-1)
  }
}
