import { ServerResponse } from 'node:http'
import type { OutgoingHttpHeader, OutgoingHttpHeaders } from 'node:http'

type Headers = OutgoingHttpHeaders | OutgoingHttpHeader[]

/** A response on a connection that may carry several requests at a time. */
export class PipelinedResponse extends ServerResponse {
  /** Decides, when the head is written, whether the connection stays open; receives the value of `shouldKeepAlive`. */
  settleKeepAlive: (wantsKeepAlive: boolean) => boolean = (wantsKeepAlive) => wantsKeepAlive

  override writeHead (statusCode: number, statusMessage?: string, headers?: Headers): this
  override writeHead (statusCode: number, headers?: Headers): this
  override writeHead (statusCode: number, statusMessage?: string | Headers, headers?: Headers): this {
    this.shouldKeepAlive = this.settleKeepAlive(this.shouldKeepAlive)
    return super.writeHead(statusCode, statusMessage as string, headers)
  }
}
