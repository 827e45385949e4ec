import type { SoakOptions } from './SoakOptions.js'

/** A seed with which the soak once had findings, with their cause. */
interface SoakSeed {
  readonly seed: number
  readonly seconds: number
  /** Sizes and faults where they differ from the command's defaults. */
  readonly options?: Partial<SoakOptions>
  readonly cause: string
}

/** Seeds that `npm run soak -- --kept` runs again. */
export const soakSeeds: readonly SoakSeed[] = [
  { seed: 2, seconds: 24, cause: 'the proxy passed on a reset right behind the last bytes as an ordinary end (test/dev/Link.test.ts)' },
  { seed: 3, seconds: 24, cause: 'the same as seed 2' },
  { seed: 28, seconds: 24, cause: 'two faults ended the same endpoint, and both started the next one at its address' },
  {
    seed: 630,
    seconds: 24,
    options: { hosts: 6, endpoints: 10, overlap: 3, silencesConnections: true },
    cause: 'SIGHUP ended a host that was starting (test/platformAdapter/shuntHost.test.ts)'
  },
  { seed: 8104, seconds: 30, cause: 'orders that ran were answered with the 503, 429 or 408 of their endpoints (test/host/ambiguousStatuses.test.ts)' }
]
