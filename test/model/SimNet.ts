import { err, ok, type Result } from 'neverthrow'
import { Clock } from '../../src/common/Clock.js'
import { createFailure } from '../../src/common/createFailure.js'
import type { Failure } from '../../src/common/Failure.js'
import { PeerMessenger } from '../../src/common/PeerMessenger.js'
import type { Message } from '../../src/wire/Message.js'
import type { PeerIdentity } from '../../src/wire/PeerIdentity.js'

/** What runs on a simulated host. */
interface SimProcess {
  handleMessage (message: Message, peer: PeerIdentity): Promise<Message | undefined> | Message | undefined
  tick (nowMs: number): void
}

interface SimHost {
  readonly identity: PeerIdentity
  readonly process: SimProcess
  readonly inbox: (() => void)[]
  paused: boolean
}

interface SimEvent {
  readonly atMs: number
  readonly order: number
  readonly run: () => void
}

/** Rates of faults on each message; delays in ms. */
interface SimFaults {
  drop: number
  duplicate: number
  /** Chance that a message is held back by up to `lateMs`. */
  late: number
  lateMs: number
}

const tickMs = 10

/** Runs processes of several hosts on one manual clock, with faults on the messages between them. */
export class SimNet {
  readonly faults: SimFaults = { drop: 0, duplicate: 0, late: 0, lateMs: 0 }
  readonly clock: Clock = new SimClock(this)
  nowMs = 0
  messages = 0
  private readonly hosts = new Map<string, SimHost>()
  private readonly cuts = new Set<string>()
  private events: SimEvent[] = []
  private order = 0

  constructor (private readonly random: () => number, private readonly delayMs: (from: string, to: string) => number) {}

  start (identity: PeerIdentity, createProcess: (messenger: PeerMessenger) => SimProcess): void {
    const process = createProcess(new SimMessenger(this, identity))
    this.hosts.set(identity.name, { identity, process, inbox: [], paused: false })
  }

  crash (name: string): void {
    this.hosts.delete(name)
  }

  setPaused (name: string, paused: boolean): void {
    const host = this.hosts.get(name)
    if (host === undefined) return
    host.paused = paused
    if (!paused) for (const run of host.inbox.splice(0)) run()
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

  /** Moves time forward in steps of 1 ms, or of `stepMs`; `eachStep` runs after the events of each. */
  async advance (ms: number, eachStep: () => void = () => {}, stepMs = 1): Promise<void> {
    for (let passed = 0; passed < ms; passed += stepMs) {
      this.nowMs += stepMs
      while (this.events.length > 0 && this.events[0]!.atMs <= this.nowMs) {
        this.events.shift()!.run()
        await flush()
      }
      if (this.nowMs % tickMs === 0) for (const host of this.hosts.values()) if (!host.paused) host.process.tick(this.nowMs)
      eachStep()
      await flush()
    }
  }

  /** Moves time forward until `promise` has settled, for at most `maxMs`. */
  async waitFor<Value> (promise: Promise<Value>, maxMs: number): Promise<Value> {
    const settled = new Set<Promise<Value>>()
    promise.then(() => settled.add(promise), () => settled.add(promise))
    for (let passed = 0; !settled.has(promise); passed += 1) {
      if (passed > maxMs) throw new Error(`nothing happened within ${maxMs} ms`)
      await this.advance(1)
    }
    return await promise
  }

  request (from: PeerIdentity, to: string, message: Message, timeoutMs: number): Promise<Result<Message, Failure>> {
    return new Promise((resolve) => {
      const answer = (reply: Message | undefined): void => {
        if (reply === undefined) return
        this.transmit(to, from.name, () => this.runAt(from, () => resolve(ok(reply))))
      }
      this.at(timeoutMs, () => this.runAt(from, () => resolve(err(createFailure('peerTimeout')))))
      this.send(from, to, message, answer)
    })
  }

  notify (from: PeerIdentity, to: string, message: Message): boolean {
    this.send(from, to, message, () => {})
    return true
  }

  private send (from: PeerIdentity, to: string, message: Message, answer: (reply: Message | undefined) => void): void {
    const copy = structuredClone(message)
    this.transmit(from.name, to, () => {
      const target = this.hosts.get(to)
      if (target === undefined) return
      this.runAt(target.identity, () => {
        Promise.resolve(target.process.handleMessage(copy, from)).then((reply) => answer(structuredClone(reply)), () => {})
      })
    })
  }

  private transmit (from: string, to: string, deliver: () => void): void {
    this.messages += 1
    if (this.cuts.has(`${from}>${to}`) || this.random() < this.faults.drop) return
    const copies = this.random() < this.faults.duplicate ? 2 : 1
    for (let copy = 0; copy < copies; copy += 1) {
      const late = this.random() < this.faults.late ? this.random() * this.faults.lateMs : 0
      this.at(this.delayMs(from, to) + late, deliver)
    }
  }

  /** Runs in the given process: now, when its pause ends, or never when it has crashed. */
  private runAt (identity: PeerIdentity, run: () => void): void {
    const host = this.hosts.get(identity.name)
    if (host === undefined || host.identity.incarnation !== identity.incarnation) return
    if (host.paused) host.inbox.push(run)
    else run()
  }

  private at (delayMs: number, run: () => void): void {
    const event = { atMs: this.nowMs + delayMs, order: this.order, run }
    this.order += 1
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

class SimClock extends Clock {
  constructor (private readonly net: SimNet) {
    super()
  }

  override nowMs (): number {
    return this.net.nowMs
  }

  override wallMs (): number {
    return this.net.nowMs
  }
}

class SimMessenger extends PeerMessenger {
  constructor (private readonly net: SimNet, private readonly self: PeerIdentity) {
    super()
  }

  override async request (host: string, message: Message, timeoutMs: number): Promise<Result<Message, Failure>> {
    return await this.net.request(this.self, host, message, timeoutMs)
  }

  override notify (host: string, message: Message): boolean {
    return this.net.notify(this.self, host, message)
  }
}

/** Lets the continuations of resolved promises run. */
async function flush (): Promise<void> {
  for (let turn = 0; turn < 8; turn += 1) await Promise.resolve()
}
