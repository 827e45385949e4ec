import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import type { BandwidthGroup } from './BandwidthGroup.js'
import type { LinkFaults } from './LinkFaults.js'
import type { LinkPlan } from './LinkPlan.js'
import { Pipe } from './Pipe.js'
import { resetSocket } from './resetSocket.js'

/** One proxied connection. */
interface Pair {
  readonly near: Socket
  readonly far: Socket
  readonly forward: Pipe
  readonly backward: Pipe
}

/** A listener whose connections are carried to the target with delay, limits and faults. */
export class Link {
  /** Connections made since the start. */
  connections = 0
  private readonly faults: LinkFaults = {
    cut: false, refuse: false, silentForward: false, silentBackward: false, loseAnswers: 0, extraDelayMs: 0
  }

  private readonly pairs = new Set<Pair>()
  private readonly waiting = new Set<Socket>()
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
    for (const { forward, backward } of this.pairs) {
      forward.flush()
      backward.flush()
    }
    this.carryWaiting()
    if (this.faults.refuse) await this.close()
    else await this.open()
  }

  /** Ends all faults but a refused port, which tells that the target's process is gone. */
  async heal (): Promise<void> {
    await this.setFaults({ cut: false, silentForward: false, silentBackward: false, loseAnswers: 0, extraDelayMs: 0 })
  }

  private resetAll (): void {
    for (const pair of this.pairs) this.reset(pair)
    for (const near of this.waiting) resetSocket(near)
  }

  private reset ({ near, far, forward, backward }: Pair): void {
    forward.stop()
    backward.stop()
    resetSocket(near)
    resetSocket(far)
  }

  private accept (near: Socket): void {
    this.connections += 1
    near.on('error', () => {})
    if (this.faults.cut) {
      resetSocket(near)
      return
    }
    if (this.isSilent()) {
      this.waiting.add(near)
      near.on('close', () => this.waiting.delete(near))
      return
    }
    this.carry(near)
  }

  private isSilent (): boolean {
    return this.faults.silentForward || this.faults.silentBackward
  }

  /** Carries connections that were made during a silence, whose handshake could not complete. */
  private carryWaiting (): void {
    if (this.isSilent()) return
    for (const near of this.waiting) this.carry(near)
    this.waiting.clear()
  }

  private carry (near: Socket): void {
    const far = connect({ ...splitAddress(this.plan.target), allowHalfOpen: true, noDelay: true })
    // A real connection costs a round trip before the first byte can leave.
    const notBeforeMs = performance.now() + 3 * this.delayMs()
    const pair: Pair = {
      near,
      far,
      forward: new Pipe({
        source: near,
        sink: far,
        group: this.groups.get(this.plan.forwardGroup ?? ''),
        delayMs: () => this.delayMs(),
        isSilent: () => this.faults.silentForward,
        onData: () => true,
        findsLateResets: false,
        notBeforeMs
      }),
      backward: new Pipe({
        source: far,
        sink: near,
        group: this.groups.get(this.plan.backwardGroup ?? ''),
        delayMs: () => this.delayMs(),
        isSilent: () => this.faults.silentBackward,
        onData: () => this.admitAnswer(pair),
        findsLateResets: this.plan.findsLateResets === true,
        notBeforeMs: 0
      })
    }
    this.pairs.add(pair)
    const release = (): void => { if (near.destroyed && far.destroyed) this.pairs.delete(pair) }
    near.on('close', release)
    far.on('close', release)
    near.on('close', (failed) => { if (failed) destroyLater(far, this.delayMs()) })
    far.on('close', (failed) => { if (failed) destroyLater(near, this.delayMs()) })
  }

  private admitAnswer (pair: Pair): boolean {
    if (this.faults.loseAnswers <= 0) return true
    this.faults.loseAnswers -= 1
    this.reset(pair)
    return false
  }

  private delayMs (): number {
    return this.plan.delayMs + this.faults.extraDelayMs
  }
}

/** Frees a socket whose other side is gone, in case the reset could not be carried in order. */
function destroyLater (socket: Socket, delayMs: number): void {
  const graceMs = 60_000
  setTimeout(() => socket.destroy(), delayMs + graceMs).unref()
}

function splitAddress (address: string): { host: string, port: number } {
  const [host = '', port = ''] = address.split(':')
  return { host, port: Number(port) }
}
