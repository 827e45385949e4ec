import { WorkClass } from '../model/WorkClass.js'
import { steerLimits } from './steerLimits.js'
import type { WaitingRequest } from './WaitingRequest.js'

/** Waiting requests of one customer, the oldest first, and the customer's virtual time. */
interface CustomerQueue {
  readonly waiting: WaitingRequest[]
  virtualTime: number
}

/** Queues of one class, by customer. */
type ClassQueue = Map<string, CustomerQueue>

/**
 * Queues the requests of one service with start-time fair queueing between customers, weighted by their priority.
 * Interactive requests and orders are served before bulk requests, which are tried first once after every
 * `requestsBetweenBulk` other requests.
 */
export class FairQueue {
  private readonly foreground: ClassQueue = new Map()
  private readonly bulk: ClassQueue = new Map()
  private virtualTime = 0
  private takenSinceBulk = 0
  private count = 0

  get size (): number {
    return this.count
  }

  add (waiting: WaitingRequest): void {
    const queues = this.selectClassQueue(waiting)
    const customer = waiting.request.customer
    const queue = queues.get(customer) ?? { waiting: [], virtualTime: 0 }
    if (queue.waiting.length === 0) queue.virtualTime = Math.max(queue.virtualTime, this.virtualTime)
    queue.waiting.push(waiting)
    queues.set(customer, queue)
    this.count += 1
  }

  /** Removes a request; returns false when it is not in the queue. */
  remove (waiting: WaitingRequest): boolean {
    const queues = this.selectClassQueue(waiting)
    const queue = queues.get(waiting.request.customer)
    const index = queue?.waiting.indexOf(waiting) ?? -1
    if (queue === undefined || index < 0) return false
    queue.waiting.splice(index, 1)
    this.count -= 1
    return true
  }

  /** Returns the oldest waiting request of each customer, in the order in which they are to be tried. */
  listNext (): WaitingRequest[] {
    const foreground = listHeads(this.foreground)
    const bulk = listHeads(this.bulk)
    return this.takenSinceBulk >= steerLimits.requestsBetweenBulk ? [...bulk, ...foreground] : [...foreground, ...bulk]
  }

  /** Removes a request that got a slot and advances the virtual time of its customer. */
  dequeue (waiting: WaitingRequest): void {
    const queue = this.selectClassQueue(waiting).get(waiting.request.customer)
    if (queue !== undefined) {
      this.virtualTime = queue.virtualTime
      queue.virtualTime += 1 / waiting.request.priority
    }
    this.takenSinceBulk = waiting.request.workClass === WorkClass.bulk ? 0 : this.takenSinceBulk + 1
    this.remove(waiting)
  }

  /** Removes and returns the requests whose wait has expired. */
  removeExpired (nowMs: number): WaitingRequest[] {
    const expired: WaitingRequest[] = []
    for (const queues of [this.foreground, this.bulk]) {
      for (const queue of queues.values()) expired.push(...queue.waiting.filter((waiting) => waiting.expiresAtMs <= nowMs))
    }
    for (const waiting of expired) this.remove(waiting)
    this.removeIdleCustomers()
    return expired
  }

  /** Removes customers without waiting requests whose virtual time is not ahead of the queue's, and all customers of an empty queue. */
  private removeIdleCustomers (): void {
    for (const queues of [this.foreground, this.bulk]) {
      for (const [customer, queue] of queues) {
        if (queue.waiting.length === 0 && (queue.virtualTime <= this.virtualTime || this.count === 0)) queues.delete(customer)
      }
    }
  }

  /** Returns the request to shed when the queue is full: the newest one of the longest customer queue, bulk queues first. */
  findRequestToShed (): WaitingRequest | undefined {
    const findNewest = (queues: ClassQueue): WaitingRequest | undefined => [...queues.values()]
      .reduce<CustomerQueue | undefined>(pickLonger, undefined)
      ?.waiting.at(-1)
    return findNewest(this.bulk) ?? findNewest(this.foreground)
  }

  private selectClassQueue (waiting: WaitingRequest): ClassQueue {
    return waiting.request.workClass === WorkClass.bulk ? this.bulk : this.foreground
  }
}

function listHeads (queues: ClassQueue): WaitingRequest[] {
  return [...queues.values()]
    .sort((a, b) => a.virtualTime - b.virtualTime)
    .flatMap((queue) => queue.waiting.slice(0, 1))
}

function pickLonger (longest: CustomerQueue | undefined, queue: CustomerQueue): CustomerQueue {
  return longest === undefined || queue.waiting.length > longest.waiting.length ? queue : longest
}
