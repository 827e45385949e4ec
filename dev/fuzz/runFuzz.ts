import * as fc from 'fast-check'
import type { FuzzEdge } from './FuzzEdge.js'

/** Seed and size of a run. */
interface FuzzOptions {
  readonly seed: number
  readonly timeLimitMs: number
  readonly onLine: (line: string) => void
}

/** Result of a run at one edge. */
interface FuzzResult {
  readonly runs: number
  /** Shrunk input and cause of the first finding; undefined without one. */
  readonly finding: string | undefined
}

/** Inputs between two progress lines. */
const runsPerLine = 2_000
const maxRuns = 10_000_000

/** Feeds inputs to an edge until the time is over or one of them is a finding, which is then shrunk. */
export async function runFuzz<Input> (edge: FuzzEdge<Input>, { seed, timeLimitMs, onLine }: FuzzOptions): Promise<FuzzResult> {
  let uncaught: Error | undefined
  let runs = 0
  // Outside of the fuzzer such an exception ends the process, so each one is a finding.
  const onUncaught = (error: Error): void => { uncaught = error }
  process.on('uncaughtException', onUncaught)
  await edge.open()
  const property = fc.asyncProperty(edge.inputs, async (input) => {
    uncaught = undefined
    runs += 1
    if (runs % runsPerLine === 0) onLine(`edge=${edge.name} runs=${runs}`)
    await edge.check(input)
    if (uncaught !== undefined) throw uncaught
  })
  try {
    const details = await fc.check(property, { seed, numRuns: maxRuns, interruptAfterTimeLimit: timeLimitMs, markInterruptAsFailure: false })
    if (!details.failed || details.counterexample === null) return { runs, finding: undefined }
    const { errorInstance, counterexample } = details
    return { runs, finding: `input=${JSON.stringify(counterexample[0])} cause=${JSON.stringify(String(errorInstance))}` }
  } finally {
    await edge.close()
    process.off('uncaughtException', onUncaught)
  }
}
