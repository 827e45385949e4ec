/** A queued request. */
interface Waiter {
  readonly deadlineAtMs: number
}

/** Queues the requests of one customer, the nearest deadline first; equal deadlines keep their order of arrival. */
export class AdmissionQueue<Item extends Waiter> {
  private readonly items: Item[] = []

  get length (): number {
    return this.items.length
  }

  add (item: Item): void {
    let low = 0
    let high = this.items.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (this.items[middle]!.deadlineAtMs <= item.deadlineAtMs) low = middle + 1
      else high = middle
    }
    this.items.splice(low, 0, item)
  }

  delete (item: Item): boolean {
    const index = this.items.indexOf(item)
    if (index < 0) return false
    this.items.splice(index, 1)
    return true
  }

  /** Returns a copy of the queue, the nearest deadline first. */
  list (): Item[] {
    return [...this.items]
  }
}
