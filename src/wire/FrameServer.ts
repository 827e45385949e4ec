import { createServer } from 'node:net'
import type { Server } from 'node:net'
import type { Failure } from '../common/Failure.js'
import { FrameConnection } from './FrameConnection.js'
import type { Message } from './Message.js'
import type { PeerIdentity } from './PeerIdentity.js'

/** What a frame server does with its connections. */
interface FrameServerOptions {
  readonly self: PeerIdentity
  readonly clusterKey: string
  readonly onMessage: (message: Message, peer: PeerIdentity, connection: FrameConnection) => Promise<Message | undefined> | Message | undefined
  /** A peer has proved the cluster key. */
  readonly onPeer?: (peer: PeerIdentity, connection: FrameConnection) => void
  /** A connection ended; `failure` says why when the protocol was broken. */
  readonly onClose?: (peer: PeerIdentity | undefined, failure: Failure | undefined, connection: FrameConnection) => void
  /** Largest number of connections at once. */
  readonly maxConnections?: number
}

const defaultMaxConnections = 1_024

/** Accepts frame connections on one address. */
export class FrameServer {
  private readonly server: Server
  private readonly connections = new Set<FrameConnection>()

  constructor (private readonly options: FrameServerOptions) {
    this.server = createServer((socket) => this.accept(new FrameConnectionFactory(options).create(socket)))
    this.server.maxConnections = options.maxConnections ?? defaultMaxConnections
  }

  async listen (address: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, address, resolve)
    })
  }

  async close (): Promise<void> {
    for (const connection of this.connections) connection.close(undefined)
    await new Promise<void>((resolve) => this.server.close(() => resolve()))
  }

  private accept (connection: FrameConnection): void {
    this.connections.add(connection)
    connection.on('ready', (peer) => this.options.onPeer?.(peer, connection))
    connection.on('close', (failure) => {
      this.connections.delete(connection)
      this.options.onClose?.(connection.peer, failure, connection)
    })
  }
}

/** Builds connections whose handler knows the connection that a message came by. */
class FrameConnectionFactory {
  constructor (private readonly options: FrameServerOptions) {}

  create (socket: ConstructorParameters<typeof FrameConnection>[0]): FrameConnection {
    const connection: FrameConnection = new FrameConnection(socket, {
      self: this.options.self,
      clusterKey: this.options.clusterKey,
      onMessage: (message, peer) => this.options.onMessage(message, peer, connection)
    })
    return connection
  }
}
