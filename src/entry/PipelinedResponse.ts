import { ServerResponse } from 'node:http'
import type { OutgoingHttpHeader, OutgoingHttpHeaders } from 'node:http'

type Headers = OutgoingHttpHeaders | OutgoingHttpHeader[]

/** A response on a connection that may carry several requests at a time; responses take turns in the order of the requests. */
export class PipelinedResponse extends ServerResponse {
  /** Decides, when the head is written, whether the connection stays open; receives the value of `shouldKeepAlive`. */
  settleKeepAlive: (wantsKeepAlive: boolean) => boolean = (wantsKeepAlive) => wantsKeepAlive
  /** Monotonic time in ms at which the request's head was read; the request may have been held since. */
  arrivedAtMs = 0
  private readyBytes = 0

  /** True once the responses before this one have been written. */
  get hasTurn (): boolean {
    return this.socket !== null
  }

  /** Bytes that wait for the responses before this one. */
  get waitingBytes (): number {
    return this.hasTurn ? 0 : this.readyBytes + this.writableLength
  }

  /**
   * Waits until the responses before this one have been written; returns false when the connection ended before. Bytes that are
   * written earlier are kept by Node.js, which stops reading a connection with more than its high-water mark of them, and then
   * doesn't notice that the caller has left. `bytes` is the size of what waits.
   */
  async waitForTurn (bytes: number): Promise<boolean> {
    if (this.hasTurn) return true
    if (this.req.socket.destroyed) return false
    this.readyBytes = bytes
    return await new Promise((resolve) => {
      this.once('socket', () => {
        this.readyBytes = 0
        resolve(true)
      })
      this.once('close', () => resolve(false))
    })
  }

  override writeHead (statusCode: number, statusMessage?: string, headers?: Headers): this
  override writeHead (statusCode: number, headers?: Headers): this
  override writeHead (statusCode: number, statusMessage?: string | Headers, headers?: Headers): this {
    this.shouldKeepAlive = this.settleKeepAlive(this.shouldKeepAlive)
    return super.writeHead(statusCode, statusMessage as string, headers)
  }
}
