import type { Agent } from 'node:http'
import type { Clock } from '../common/Clock.js'
import type { DialMap } from '../common/DialMap.js'
import { ConnectionRecords } from './ConnectionRecords.js'
import { defaultExchangePolicy } from './defaultExchangePolicy.js'
import type { ExchangePolicy } from './ExchangePolicy.js'
import { GuardedAgent } from './GuardedAgent.js'
import { HttpExchange } from './HttpExchange.js'
import type { UpstreamCall } from './UpstreamCall.js'
import { OwnHostTlsAgent } from './OwnHostTlsAgent.js'
import { UpstreamClient } from './UpstreamClient.js'
import type { UpstreamRequest } from './UpstreamRequest.js'

/** Settings and dependencies of the client. */
interface HttpUpstreamOptions {
  readonly dial: DialMap
  readonly clock: Clock
  /** Maximum number of idle connections to one address. */
  readonly maxIdle: number
  /** True if the destination is a process of this host that requires TLS. */
  readonly isOwnHostTls?: boolean
  readonly policy?: ExchangePolicy
}

/** Sends requests over HTTP/1.1, on pooled connections unless a request requires a new one. */
export class HttpUpstreamClient extends UpstreamClient {
  private readonly agent: Agent
  private readonly policy: ExchangePolicy
  private readonly connections = new ConnectionRecords()

  constructor (private readonly options: HttpUpstreamOptions) {
    super()
    this.policy = options.policy ?? defaultExchangePolicy
    this.agent = options.isOwnHostTls === true
      ? new OwnHostTlsAgent()
      : new GuardedAgent({ keepAlive: true, scheduling: 'lifo', maxFreeSockets: options.maxIdle }, this.policy.connectTimeoutMs, this.connections)
  }

  override start (request: UpstreamRequest): UpstreamCall {
    return new HttpExchange(request, (address) => this.options.dial.resolve(address), this.agent, this.policy, this.connections)
  }

  override close (): void {
    this.agent.destroy()
  }
}
