import { WorkClass } from '../model/WorkClass.js'
import { steerLimits } from './steerLimits.js'
import type { WaitingRequest } from './WaitingRequest.js'

/** Waiting requests of one customer, oldest first, and its virtual time. */
interface CustomerQueue {
  readonly waiting: WaitingRequest[]
  virtualTime: number
}

/** Waiting requests of one class by customer. */
type ClassQueue = Map<string, CustomerQueue>

/**
 * Queue of one service: start-time fair queueing between customers, weighted by their priority. Interactive
 * work and orders go before bulk, which gets every tenth turn.
 */
export class FairQueue {
  private readonly front: ClassQueue = new Map()
  private readonly bulk: ClassQueue = new Map()
  private clock = 0
  private turnsSinceBulk = 0
  private count = 0

  get size (): number {
    return this.count
  }

  add (waiting: WaitingRequest): void {
    const queues = this.queuesOf(waiting)
    const customer = waiting.request.customer
    const queue = queues.get(customer) ?? { waiting: [], virtualTime: 0 }
    if (queue.waiting.length === 0) queue.virtualTime = Math.max(queue.virtualTime, this.clock)
    queue.waiting.push(waiting)
    queues.set(customer, queue)
    this.count += 1
  }

  /** Removes a request; false when it is not in the queue. */
  remove (waiting: WaitingRequest): boolean {
    const queues = this.queuesOf(waiting)
    const queue = queues.get(waiting.request.customer)
    const index = queue?.waiting.indexOf(waiting) ?? -1
    if (queue === undefined || index < 0) return false
    queue.waiting.splice(index, 1)
    this.count -= 1
    return true
  }

  /** The waiting requests in the order in which they should be tried; the first of each customer only. */
  listNext (): WaitingRequest[] {
    const front = listHeads(this.front)
    const bulk = listHeads(this.bulk)
    return this.turnsSinceBulk >= steerLimits.bulkTurn ? [...bulk, ...front] : [...front, ...bulk]
  }

  /** Removes a request that got room and charges its customer. */
  take (waiting: WaitingRequest): void {
    const queue = this.queuesOf(waiting).get(waiting.request.customer)
    if (queue !== undefined) {
      this.clock = queue.virtualTime
      queue.virtualTime += 1 / waiting.request.priority
    }
    this.turnsSinceBulk = waiting.request.workClass === WorkClass.bulk ? 0 : this.turnsSinceBulk + 1
    this.remove(waiting)
  }

  /** Removes and returns the requests whose wait has ended. */
  removeExpired (nowMs: number): WaitingRequest[] {
    const expired: WaitingRequest[] = []
    for (const queues of [this.front, this.bulk]) {
      for (const queue of queues.values()) expired.push(...queue.waiting.filter((waiting) => waiting.untilMs <= nowMs))
    }
    for (const waiting of expired) this.remove(waiting)
    this.forgetIdle()
    return expired
  }

  /** Forgets customers without waiting requests once they have no lead over the others. */
  private forgetIdle (): void {
    for (const queues of [this.front, this.bulk]) {
      for (const [customer, queue] of queues) {
        if (queue.waiting.length === 0 && (queue.virtualTime <= this.clock || this.count === 0)) queues.delete(customer)
      }
    }
  }

  /** The request to shed when the queue is full: the newest bulk request, else the newest of the longest customer queue. */
  findVictim (): WaitingRequest | undefined {
    const longest = (queues: ClassQueue): WaitingRequest | undefined => [...queues.values()]
      .reduce<CustomerQueue | undefined>(pickLonger, undefined)
      ?.waiting.at(-1)
    return longest(this.bulk) ?? longest(this.front)
  }

  private queuesOf (waiting: WaitingRequest): ClassQueue {
    return waiting.request.workClass === WorkClass.bulk ? this.bulk : this.front
  }
}

function listHeads (queues: ClassQueue): WaitingRequest[] {
  return [...queues.values()]
    .sort((a, b) => a.virtualTime - b.virtualTime)
    .flatMap((queue) => queue.waiting.slice(0, 1))
}

function pickLonger (most: CustomerQueue | undefined, queue: CustomerQueue): CustomerQueue {
  return most === undefined || queue.waiting.length > most.waiting.length ? queue : most
}
