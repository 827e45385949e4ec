import type { Agent } from 'node:http'
import type { Clock } from '../common/Clock.js'
import type { DialMap } from '../common/DialMap.js'
import { ConnectLimitAgent } from './ConnectLimitAgent.js'
import { HttpExchange } from './HttpExchange.js'
import type { UpstreamCall } from './UpstreamCall.js'
import { OwnHostTlsAgent } from './OwnHostTlsAgent.js'
import { UpstreamClient } from './UpstreamClient.js'
import type { UpstreamRequest } from './UpstreamRequest.js'

/** What the client needs. */
interface HttpUpstreamOptions {
  readonly dial: DialMap
  readonly clock: Clock
  /** Idle connections kept to one address. */
  readonly maxIdle: number
  /** The destination is another process of this host that speaks TLS. */
  readonly isOwnHostTls?: boolean
}

/** Sends requests over HTTP/1.1, on kept connections unless a request wants a fresh one. */
export class HttpUpstreamClient extends UpstreamClient {
  private readonly agent: Agent

  constructor (private readonly options: HttpUpstreamOptions) {
    super()
    this.agent = options.isOwnHostTls === true
      ? new OwnHostTlsAgent()
      : new ConnectLimitAgent({ keepAlive: true, scheduling: 'lifo', maxFreeSockets: options.maxIdle })
  }

  override start (request: UpstreamRequest): UpstreamCall {
    return new HttpExchange(request, this.options.dial.resolve(request.address), this.agent)
  }

  override close (): void {
    this.agent.destroy()
  }
}
