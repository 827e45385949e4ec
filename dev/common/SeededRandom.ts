/** Pseudorandom number generator with a fixed sequence per seed (mulberry32). */
export class SeededRandom {
  private state: number

  constructor (seed: number) {
    this.state = seed >>> 0
  }

  /** Returns a number in [0, 1). */
  next (): number {
    this.state = (this.state + 0x6D2B79F5) >>> 0
    let mixed = this.state
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }

  /** Returns an exponentially distributed number with the given mean. */
  exponential (mean: number): number {
    return -Math.log(1 - this.next()) * mean
  }

  /** Returns an integer in [0, `limit`). */
  integer (limit: number): number {
    return Math.floor(this.next() * limit)
  }

  /** Returns one of `choices`, with a probability proportional to its weight. */
  pick<Choice> (choices: readonly { readonly weight: number, readonly choice: Choice }[]): Choice {
    const total = choices.reduce((sum, { weight }) => sum + weight, 0)
    let remaining = this.next() * total
    for (const { weight, choice } of choices) {
      remaining -= weight
      if (remaining < 0) return choice
    }
    return choices[choices.length - 1]!.choice
  }
}
