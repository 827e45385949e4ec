import { createMixedTraffic } from '../../dev/callers/createMixedTraffic.js'
import type { CallRecord } from '../../dev/callers/CallRecord.js'
import { LoadGenerator } from '../../dev/callers/LoadGenerator.js'
import { Cluster } from '../../dev/Cluster.js'
import type { ClusterOptions } from '../../dev/cluster/ClusterOptions.js'
import type { BrokenPromises } from '../../dev/proof/BrokenPromises.js'
import type { CapPeriod } from '../../dev/proof/CapPeriod.js'
import { checkPromises } from '../../dev/proof/checkPromises.js'
import { createCapPeriods } from '../../dev/proof/createCapPeriods.js'

/** What a scenario does while traffic flows. */
export interface ScenarioContext {
  readonly cluster: Cluster
  readonly load: LoadGenerator
  sleep (ms: number): Promise<void>
  /** From now on broken connections at `host` are expected: it is killed or paused. */
  expectBreaks (host: string): void
  /** Adds a cap that must hold from `fromMs` (wall time) on. */
  expectCap (cap: CapPeriod): void
}

/** One run with real processes, traffic and failures. */
interface ScenarioOptions extends Omit<ClusterOptions, 'example'> {
  readonly example?: ClusterOptions['example']
  /** Part of each contract's rate that is offered. */
  readonly offered?: number
  readonly play: (context: ScenarioContext) => Promise<void>
}

/** What a run showed. */
interface ScenarioResult {
  readonly promises: BrokenPromises
  readonly records: readonly CallRecord[]
  /** Part of the requests due in a span that were answered whole; times in ms since the traffic started. */
  servedPart (fromMs: number, toMs: number): number
}

/** Starts a deployment, sends mixed traffic while `play` makes things fail, and compares answers with the stand-ins. */
export async function runScenario (options: ScenarioOptions): Promise<ScenarioResult> {
  const cluster = await Cluster.start({ example: 'caroni', seed: 1, logLevel: 'error', ...options })
  try {
    const load = new LoadGenerator(cluster, 'scenario', options.seed ?? 1)
    for (const stream of createMixedTraffic(cluster, { load: options.offered ?? 0.3, uploadBytes: 200_000 })) load.add(stream)
    const killed = new Map<string, number>()
    const caps = createCapPeriods(cluster.contracts)
    const startMs = Date.now()
    load.start()
    await options.play({
      cluster,
      load,
      sleep: async (ms) => await new Promise((resolve) => setTimeout(resolve, ms)),
      expectBreaks: (host) => { killed.set(host, Date.now()) },
      expectCap: (cap) => { caps.push(cap) }
    })
    await load.stop()
    const promises = await checkPromises(cluster, load.records, { caps, killed })
    const servedPart = (fromMs: number, toMs: number): number => {
      const due = load.records.filter(({ intendedMs }) => intendedMs >= startMs + fromMs && intendedMs < startMs + toMs)
      return due.filter(({ result }) => result === 'ok').length / Math.max(1, due.length)
    }
    return { promises, records: load.records, servedPart }
  } finally {
    await cluster.close()
  }
}
