import { createServer } from 'node:net'
import type { Server } from 'node:net'
import type { Failure } from '../common/Failure.js'
import { FrameConnection } from './FrameConnection.js'
import type { Message } from './Message.js'
import type { PeerIdentity } from './PeerIdentity.js'

/** Identity, key and callbacks for accepted connections. */
interface FrameServerOptions {
  readonly self: PeerIdentity
  readonly clusterKey: string
  readonly onMessage: (message: Message, peer: PeerIdentity, connection: FrameConnection) => Promise<Message | undefined> | Message | undefined
  /** Called when a peer has completed the handshake. */
  readonly onReady?: (peer: PeerIdentity, connection: FrameConnection) => void
  /** Called when a connection has closed; `failure` is set when a protocol error or a timeout closed it. */
  readonly onClose?: (peer: PeerIdentity | undefined, failure: Failure | undefined, connection: FrameConnection) => void
  /** Time in ms without any bytes after which a connection is closed; a connection that fell silent has no other end. */
  readonly idleTimeoutMs?: number
  /** Called for each message with the size of its frame in bytes. */
  readonly onSent?: (type: string, bytes: number) => void
  /** Largest number of concurrent connections. */
  readonly maxConnections?: number
}

const defaultMaxConnections = 1_024

/** Accepts frame connections on one address and port. */
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
    connection.on('ready', (peer) => this.options.onReady?.(peer, connection))
    connection.on('close', (failure) => {
      this.connections.delete(connection)
      this.options.onClose?.(connection.peer, failure, connection)
    })
  }
}

/** Creates connections that pass themselves to the message handler, which a plain options object could not do. */
class FrameConnectionFactory {
  constructor (private readonly options: FrameServerOptions) {}

  create (socket: ConstructorParameters<typeof FrameConnection>[0]): FrameConnection {
    const connection: FrameConnection = new FrameConnection(socket, {
      self: this.options.self,
      clusterKey: this.options.clusterKey,
      idleTimeoutMs: this.options.idleTimeoutMs,
      onSent: this.options.onSent,
      onMessage: (message, peer) => this.options.onMessage(message, peer, connection)
    })
    return connection
  }
}
