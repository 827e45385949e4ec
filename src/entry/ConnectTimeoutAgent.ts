import { Agent } from 'node:http'
import type { AgentOptions } from 'node:http'
import { createConnectTimeoutError } from './createConnectTimeoutError.js'
import { entryLimits } from './entryLimits.js'

type CreateConnection = Agent['createConnection']

/** An agent that destroys sockets that are not connected within the connect timeout. */
export class ConnectTimeoutAgent extends Agent {
  constructor (options: AgentOptions, private readonly connectTimeoutMs: number = entryLimits.connectTimeoutMs) {
    super(options)
  }

  override createConnection (...args: Parameters<CreateConnection>): ReturnType<CreateConnection> {
    const socket = super.createConnection(...args)
    const timer = setTimeout(() => socket?.destroy(createConnectTimeoutError()), this.connectTimeoutMs)
    const clear = (): void => clearTimeout(timer)
    socket?.once('connect', clear)
    socket?.once('close', clear)
    return socket
  }
}
