/** A seed with which the soak once had findings, with their cause. */
interface SoakSeed {
  readonly seed: number
  readonly seconds: number
  readonly cause: string
}

/** Seeds that `npm run soak -- --kept` runs again, with the command's default sizes. */
export const soakSeeds: readonly SoakSeed[] = [
  { seed: 2, seconds: 24, cause: 'the proxy passed on a reset right behind the last bytes as an ordinary end (test/dev/Link.test.ts)' },
  { seed: 3, seconds: 24, cause: 'the same as seed 2' },
  { seed: 28, seconds: 24, cause: 'two faults ended the same endpoint, and both started the next one at its address' }
]
