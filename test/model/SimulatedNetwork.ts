import { err, ok, type Result } from 'neverthrow'
import { Clock } from '../../src/common/Clock.js'
import { createFailure } from '../../src/common/createFailure.js'
import type { Failure } from '../../src/common/Failure.js'
import { PeerMessenger } from '../../src/common/PeerMessenger.js'
import type { Message } from '../../src/wire/Message.js'
import type { PeerIdentity } from '../../src/wire/PeerIdentity.js'

/** A process that runs on a simulated host. */
interface SimulatedProcess {
  handleMessage (message: Message, peer: PeerIdentity): Promise<Message | undefined> | Message | undefined
  tick (nowMs: number): void
}

interface SimulatedHost {
  readonly identity: PeerIdentity
  readonly process: SimulatedProcess
  readonly pausedWork: (() => void)[]
  paused: boolean
}

interface SimulatedEvent {
  readonly atMs: number
  readonly sequence: number
  readonly run: () => void
}

/** Probabilities of faults per message. */
interface MessageFaults {
  drop: number
  duplicate: number
  /** Probability that a message is delayed by up to `lateMs` more. */
  late: number
  lateMs: number
}

const tickMs = 10

/** Runs the processes of several hosts on a manual clock, with faults on the messages between them. */
export class SimulatedNetwork {
  readonly faults: MessageFaults = { drop: 0, duplicate: 0, late: 0, lateMs: 0 }
  readonly clock: Clock = new SimulatedClock(this)
  nowMs = 0
  messages = 0
  private readonly hosts = new Map<string, SimulatedHost>()
  private readonly cuts = new Set<string>()
  private events: SimulatedEvent[] = []
  private sequence = 0

  constructor (private readonly random: () => number, private readonly delayMs: (from: string, to: string) => number) {}

  start (identity: PeerIdentity, createProcess: (messenger: PeerMessenger) => SimulatedProcess): void {
    const process = createProcess(new SimulatedMessenger(this, identity))
    this.hosts.set(identity.name, { identity, process, pausedWork: [], paused: false })
  }

  crash (name: string): void {
    this.hosts.delete(name)
  }

  setPaused (name: string, paused: boolean): void {
    const host = this.hosts.get(name)
    if (host === undefined) return
    host.paused = paused
    if (!paused) for (const run of host.pausedWork.splice(0)) run()
  }

  isRunning (name: string): boolean {
    return this.hosts.get(name)?.paused === false
  }

  /** Cuts or restores one direction between two hosts. */
  setCut (from: string, to: string, cut: boolean): void {
    if (cut) this.cuts.add(`${from}>${to}`)
    else this.cuts.delete(`${from}>${to}`)
  }

  healCuts (): void {
    this.cuts.clear()
  }

  /** Advances the time in steps of `stepMs`; `eachStep` runs after the events of each step. */
  async advance (ms: number, eachStep: () => void = () => {}, stepMs = 1): Promise<void> {
    for (let passed = 0; passed < ms; passed += stepMs) {
      this.nowMs += stepMs
      while (this.events.length > 0 && this.events[0]!.atMs <= this.nowMs) {
        this.events.shift()!.run()
        await flushMicrotasks()
      }
      if (this.nowMs % tickMs === 0) for (const host of this.hosts.values()) if (!host.paused) host.process.tick(this.nowMs)
      eachStep()
      await flushMicrotasks()
    }
  }

  /** Advances the time until `promise` has settled, by at most `maxMs`. */
  async waitFor<Value> (promise: Promise<Value>, maxMs: number): Promise<Value> {
    const settled = new Set<Promise<Value>>()
    promise.then(() => settled.add(promise), () => settled.add(promise))
    for (let passed = 0; !settled.has(promise); passed += 1) {
      if (passed > maxMs) throw new Error(`the promise did not settle within ${maxMs} ms`)
      await this.advance(1)
    }
    return await promise
  }

  request (from: PeerIdentity, to: string, message: Message, timeoutMs: number): Promise<Result<Message, Failure>> {
    return new Promise((resolve) => {
      const respond = (reply: Message | undefined): void => {
        if (reply === undefined) return
        this.transmit(to, from.name, () => this.runInProcess(from, () => resolve(ok(reply))))
      }
      this.schedule(timeoutMs, () => this.runInProcess(from, () => resolve(err(createFailure('peerTimeout')))))
      this.send(from, to, message, respond)
    })
  }

  notify (from: PeerIdentity, to: string, message: Message): boolean {
    this.send(from, to, message, () => {})
    return true
  }

  private send (from: PeerIdentity, to: string, message: Message, respond: (reply: Message | undefined) => void): void {
    const copy = structuredClone(message)
    this.transmit(from.name, to, () => {
      const target = this.hosts.get(to)
      if (target === undefined) return
      this.runInProcess(target.identity, () => {
        Promise.resolve(target.process.handleMessage(copy, from)).then((reply) => respond(structuredClone(reply)), () => {})
      })
    })
  }

  private transmit (from: string, to: string, deliver: () => void): void {
    this.messages += 1
    if (this.cuts.has(`${from}>${to}`) || this.random() < this.faults.drop) return
    const copies = this.random() < this.faults.duplicate ? 2 : 1
    for (let copy = 0; copy < copies; copy += 1) {
      const late = this.random() < this.faults.late ? this.random() * this.faults.lateMs : 0
      this.schedule(this.delayMs(from, to) + late, deliver)
    }
  }

  /** Runs work in the given process: now, after the end of its pause, or never when it has crashed. */
  private runInProcess (identity: PeerIdentity, run: () => void): void {
    const host = this.hosts.get(identity.name)
    if (host === undefined || host.identity.incarnation !== identity.incarnation) return
    if (host.paused) host.pausedWork.push(run)
    else run()
  }

  private schedule (delayMs: number, run: () => void): void {
    const event = { atMs: this.nowMs + delayMs, sequence: this.sequence, run }
    this.sequence += 1
    let low = 0
    let high = this.events.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (this.events[middle]!.atMs <= event.atMs) low = middle + 1
      else high = middle
    }
    this.events.splice(low, 0, event)
  }
}

class SimulatedClock extends Clock {
  constructor (private readonly net: SimulatedNetwork) {
    super()
  }

  override nowMs (): number {
    return this.net.nowMs
  }

  override wallMs (): number {
    return this.net.nowMs
  }
}

class SimulatedMessenger extends PeerMessenger {
  constructor (private readonly net: SimulatedNetwork, private readonly self: PeerIdentity) {
    super()
  }

  override async request (host: string, message: Message, timeoutMs: number): Promise<Result<Message, Failure>> {
    return await this.net.request(this.self, host, message, timeoutMs)
  }

  override notify (host: string, message: Message): boolean {
    return this.net.notify(this.self, host, message)
  }
}

/** Runs the pending continuations of resolved promises. */
async function flushMicrotasks (): Promise<void> {
  for (let turn = 0; turn < 8; turn += 1) await Promise.resolve()
}
