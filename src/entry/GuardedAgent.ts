import type { AgentOptions, ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import { ConnectTimeoutAgent } from './ConnectTimeoutAgent.js'
import type { ConnectionRecords } from './ConnectionRecords.js'

/** An agent that closes idle connections on which bytes arrive, since they would be read as the response to the next request. */
export class GuardedAgent extends ConnectTimeoutAgent {
  constructor (options: AgentOptions, connectTimeoutMs: number, private readonly connections: ConnectionRecords) {
    super(options, connectTimeoutMs)
  }

  override keepSocketAlive (socket: Socket): boolean {
    if (!this.connections.isReusable(socket)) return false
    const isKept = super.keepSocketAlive(socket) as unknown as boolean
    if (isKept) socket.on('data', destroyOnData)
    return isKept
  }

  override reuseSocket (socket: Socket, req: ClientRequest): void {
    socket.off('data', destroyOnData)
    super.reuseSocket(socket, req)
  }
}

function destroyOnData (this: Socket): void {
  this.destroy()
}
