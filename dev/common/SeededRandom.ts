/** Random numbers that repeat for the same seed (mulberry32). */
export class SeededRandom {
  private state: number

  constructor (seed: number) {
    this.state = seed >>> 0
  }

  /** A number from 0 up to, not including, 1. */
  next (): number {
    this.state = (this.state + 0x6D2B79F5) >>> 0
    let mixed = this.state
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }

  /** An exponentially distributed number around `mean`. */
  exponential (mean: number): number {
    return -Math.log(1 - this.next()) * mean
  }

  /** An integer from 0 up to, not including, `limit`. */
  integer (limit: number): number {
    return Math.floor(this.next() * limit)
  }

  /** One of `choices`, by their weights. */
  pick<Choice> (choices: readonly { readonly weight: number, readonly choice: Choice }[]): Choice {
    const total = choices.reduce((sum, { weight }) => sum + weight, 0)
    let left = this.next() * total
    for (const { weight, choice } of choices) {
      left -= weight
      if (left < 0) return choice
    }
    return choices[choices.length - 1]!.choice
  }
}
