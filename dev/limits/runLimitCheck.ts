import * as fc from 'fast-check'
import type { CreateLimitProcess } from './CreateLimitProcess.js'
import { createLimitTraces } from './createLimitTraces.js'
import type { LimitBound } from './LimitBound.js'
import type { LimitEvent } from './LimitEvent.js'
import { LimitRun } from './LimitRun.js'
import { limitRunSizes } from './limitRunSizes.js'
import type { LimitTrace } from './LimitTrace.js'
import { listSmallTraces } from './listSmallTraces.js'

/** Seed and size of a check. */
interface LimitCheckOptions {
  readonly seed: number
  /** Smallest and largest number of hosts at the start of a trace. */
  readonly minHosts: number
  readonly maxHosts: number
  /** Kinds of events that don't happen. */
  readonly excluded: ReadonlyArray<LimitEvent['kind']>
  readonly timeLimitMs: number
  /** Largest number of traces besides those of the shrinking, for runs that don't depend on the machine's speed. */
  readonly maxTraces: number
  readonly create: CreateLimitProcess
  readonly onLine: (line: string) => void
}

/** Result of a check of one bound. */
interface LimitCheckResult {
  readonly traces: number
  /** Number of distinct states seen after an event. */
  readonly states: number
  /** True when all short traces of few hosts were played. */
  readonly isComplete: boolean
  /** Shortest trace of the first finding, and the window; undefined without one. */
  readonly finding: { readonly trace: LimitTrace, readonly excess: string } | undefined
}

/** Traces between two progress lines. */
const tracesPerLine = 500
/** Share of the time and of the traces that the search of all short traces may take. */
const searchShare = 0.5

/** Searches all short traces of few hosts, then plays walks until the time is over or one of them is a finding, which is then shrunk. */
export function runLimitCheck (bound: LimitBound, { seed, minHosts, maxHosts, excluded, timeLimitMs, maxTraces, create, onLine }: LimitCheckOptions): LimitCheckResult {
  const startMs = performance.now()
  const states = new Set<string>()
  let traces = 0
  const findExcess = (trace: LimitTrace): string | undefined => {
    const run = new LimitRun(trace, bound, create)
    run.play()
    for (const state of run.states) states.add(state)
    traces += 1
    if (traces % tracesPerLine === 0) onLine(`bound=${bound.name} traces=${traces} states=${states.size} seconds=${Math.round((performance.now() - startMs) / 1_000)}`)
    return bound.findExcess(run.log)
  }
  let isComplete = minHosts <= limitRunSizes.maxSmallHosts
  for (let hosts = minHosts; hosts <= Math.min(maxHosts, limitRunSizes.maxSmallHosts); hosts++) {
    for (const trace of listSmallTraces(bound, hosts, excluded)) {
      isComplete = performance.now() - startMs < timeLimitMs * searchShare && traces < maxTraces * searchShare
      if (!isComplete) break
      const excess = findExcess(trace)
      if (excess !== undefined) return { traces, states: states.size, isComplete: false, finding: { trace, excess } }
    }
  }
  const property = fc.property(createLimitTraces(bound, { minHosts, maxHosts, excluded }), (trace) => findExcess(trace) === undefined)
  const leftMs = Math.max(1, timeLimitMs - (performance.now() - startMs))
  const details = fc.check(property, { seed, numRuns: maxTraces - traces, interruptAfterTimeLimit: leftMs, markInterruptAsFailure: false })
  if (!details.failed || details.counterexample === null) return { traces, states: states.size, isComplete, finding: undefined }
  const [trace] = details.counterexample
  return { traces, states: states.size, isComplete, finding: { trace, excess: findExcess(trace)! } }
}
