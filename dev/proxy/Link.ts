import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import type { BandwidthGroup } from './BandwidthGroup.js'
import type { LinkFaults } from './LinkFaults.js'
import type { LinkPlan } from './LinkPlan.js'
import { Pipe } from './Pipe.js'
import type { RefusedConnection } from './RefusedConnection.js'
import { resetSocket } from './resetSocket.js'

/** One proxied connection. */
interface ProxiedConnection {
  readonly clientSocket: Socket
  readonly targetSocket: Socket
  readonly forward: Pipe
  readonly backward: Pipe
  /** True once the connection passes on nothing more, whatever the faults of the link. */
  isSilenced: boolean
}

/** A listener that proxies its connections to the target with delays, bandwidth limits and faults. */
export class Link {
  /** Number of connections accepted since startup. */
  connections = 0
  /** Connections that the target refused. */
  readonly refused: RefusedConnection[] = []
  private readonly faults: LinkFaults = {
    cut: false, refuse: false, silentForward: false, silentBackward: false, silencesOpen: false, loseAnswers: 0, extraDelayMs: 0
  }

  private readonly openConnections = new Set<ProxiedConnection>()
  private readonly pendingClients = new Set<Socket>()
  private server: Server | undefined

  constructor (readonly plan: LinkPlan, private readonly groups: ReadonlyMap<string, BandwidthGroup>) {}

  async open (): Promise<void> {
    if (this.server !== undefined) return
    const server = createServer({ allowHalfOpen: true, noDelay: true }, (socket) => this.accept(socket))
    this.server = server
    const { host, port } = splitAddress(this.plan.listen)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen({ host, port, backlog: 1_024 }, resolve)
    })
  }

  async close (): Promise<void> {
    const server = this.server
    this.server = undefined
    const closed = new Promise<void>((resolve) => server === undefined ? resolve() : server.close(() => resolve()))
    this.resetAll()
    await closed
  }

  async setFaults (changes: Partial<LinkFaults>): Promise<void> {
    Object.assign(this.faults, changes)
    if (this.faults.cut) this.resetAll()
    if (changes.silencesOpen === true) for (const connection of this.openConnections) connection.isSilenced = true
    for (const { forward, backward } of this.openConnections) {
      forward.deliverDue()
      backward.deliverDue()
    }
    this.connectPending()
    if (this.faults.refuse) await this.close()
    else await this.open()
  }

  /** Clears all faults except `refuse`, which indicates that the target's process has exited. */
  async heal (): Promise<void> {
    await this.setFaults({ cut: false, silentForward: false, silentBackward: false, silencesOpen: false, loseAnswers: 0, extraDelayMs: 0 })
  }

  private resetAll (): void {
    for (const connection of this.openConnections) this.reset(connection)
    for (const clientSocket of this.pendingClients) resetSocket(clientSocket)
  }

  private reset ({ clientSocket, targetSocket, forward, backward }: ProxiedConnection): void {
    forward.stop()
    backward.stop()
    resetSocket(clientSocket)
    resetSocket(targetSocket)
  }

  private accept (clientSocket: Socket): void {
    this.connections += 1
    clientSocket.on('error', () => {})
    if (this.faults.cut) {
      resetSocket(clientSocket)
      return
    }
    if (this.isSilent()) {
      this.pendingClients.add(clientSocket)
      clientSocket.on('close', () => this.pendingClients.delete(clientSocket))
      return
    }
    this.connectToTarget(clientSocket)
  }

  private isSilent (): boolean {
    return this.faults.silentForward || this.faults.silentBackward
  }

  /** Connects clients that connected while the link was silent, when a handshake with the target could not complete. */
  private connectPending (): void {
    if (this.isSilent()) return
    for (const clientSocket of this.pendingClients) this.connectToTarget(clientSocket)
    this.pendingClients.clear()
  }

  private connectToTarget (clientSocket: Socket): void {
    const targetSocket = connect({ ...splitAddress(this.plan.target), allowHalfOpen: true, noDelay: true })
    const client = `${clientSocket.remoteAddress ?? ''}:${clientSocket.remotePort ?? 0}`
    targetSocket.once('error', (err: NodeJS.ErrnoException) => {
      if (err.code === 'ECONNREFUSED') this.refused.push({ client, atMs: Date.now() })
    })
    // A real connection needs a round trip before the client can send its first byte.
    const notBeforeMs = performance.now() + 3 * this.delayMs()
    const connection: ProxiedConnection = {
      clientSocket,
      targetSocket,
      isSilenced: false,
      forward: new Pipe({
        source: clientSocket,
        sink: targetSocket,
        group: this.groups.get(this.plan.forwardGroup ?? ''),
        delayMs: () => this.delayMs(),
        isSilent: () => this.faults.silentForward || connection.isSilenced,
        admit: () => true,
        findsLateResets: false,
        notBeforeMs
      }),
      backward: new Pipe({
        source: targetSocket,
        sink: clientSocket,
        group: this.groups.get(this.plan.backwardGroup ?? ''),
        delayMs: () => this.delayMs(),
        isSilent: () => this.faults.silentBackward || connection.isSilenced,
        admit: () => this.admitResponse(connection),
        findsLateResets: this.plan.findsLateResets === true,
        notBeforeMs: 0
      })
    }
    this.openConnections.add(connection)
    const release = (): void => { if (clientSocket.destroyed && targetSocket.destroyed) this.openConnections.delete(connection) }
    clientSocket.on('close', release)
    targetSocket.on('close', release)
    clientSocket.on('close', (failed) => { if (failed) destroyAfterGrace(targetSocket, this.delayMs()) })
    targetSocket.on('close', (failed) => { if (failed) destroyAfterGrace(clientSocket, this.delayMs()) })
  }

  private admitResponse (connection: ProxiedConnection): boolean {
    if (this.faults.loseAnswers <= 0) return true
    this.faults.loseAnswers -= 1
    this.reset(connection)
    return false
  }

  private delayMs (): number {
    return this.plan.delayMs + this.faults.extraDelayMs
  }
}

/** Destroys a socket some time after its peer socket failed, in case the pipe could not deliver the reset in order. */
function destroyAfterGrace (socket: Socket, delayMs: number): void {
  const graceMs = 60_000
  setTimeout(() => socket.destroy(), delayMs + graceMs).unref()
}

function splitAddress (address: string): { host: string, port: number } {
  const [host = '', port = ''] = address.split(':')
  return { host, port: Number(port) }
}
