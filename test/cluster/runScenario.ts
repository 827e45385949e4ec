import { createMixedTraffic } from '../../dev/callers/createMixedTraffic.js'
import type { CallRecord } from '../../dev/callers/CallRecord.js'
import { LoadGenerator } from '../../dev/callers/LoadGenerator.js'
import { Cluster } from '../../dev/Cluster.js'
import { StallWatch } from '../../dev/common/StallWatch.js'
import type { ClusterOptions } from '../../dev/cluster/ClusterOptions.js'
import type { BrokenPromises } from '../../dev/proof/BrokenPromises.js'
import type { CapPeriod } from '../../dev/proof/CapPeriod.js'
import { checkPromises } from '../../dev/proof/checkPromises.js'
import { createCapPeriods } from '../../dev/proof/createCapPeriods.js'
import type { RefusedConnection } from '../../dev/proxy/RefusedConnection.js'

/** Controls that the steps of a scenario use while traffic flows. */
export interface ScenarioContext {
  readonly cluster: Cluster
  readonly load: LoadGenerator
  sleep (ms: number): Promise<void>
  /** Marks `host` as killed or paused: connections that break there from now on are expected. */
  expectBreaks (host: string): void
  /** Adds a cap that must hold from `fromMs` (wall time) on. */
  expectCap (cap: CapPeriod): void
}

/** Options of one run with real processes, traffic and faults. */
interface ScenarioOptions extends Omit<ClusterOptions, 'example'> {
  readonly example?: ClusterOptions['example']
  /** Offered load as a share of each contract's rate. */
  readonly offeredLoad?: number
  readonly runSteps: (context: ScenarioContext) => Promise<void>
}

/** Result of a run. */
interface ScenarioResult {
  readonly promises: BrokenPromises
  readonly records: readonly CallRecord[]
  /** Returns the share of the requests due in a time span that were answered completely; times in ms since the traffic started. */
  servedShare (fromMs: number, toMs: number): number
}

/** Time in ms without a turn of the callers' event loop that is reported. */
const stallMs = 200

/** Starts a deployment, sends mixed traffic while `runSteps` injects faults, and compares the callers' records with the stand-ins'. */
export async function runScenario (options: ScenarioOptions): Promise<ScenarioResult> {
  const cluster = await Cluster.start({ example: 'caroni', seed: 1, logLevel: 'error', ...options })
  const stalls: Array<readonly [number, number]> = []
  const stallWatch = new StallWatch(stallMs, (fromMs, untilMs) => stalls.push([performance.timeOrigin + fromMs, performance.timeOrigin + untilMs]))
  try {
    const load = new LoadGenerator(cluster, 'scenario', options.seed ?? 1)
    for (const stream of createMixedTraffic(cluster, { load: options.offeredLoad ?? 0.3, uploadBytes: 200_000 })) load.add(stream)
    const killed = new Map<string, number>()
    const caps = createCapPeriods(cluster.contracts)
    const startMs = Date.now()
    stallWatch.start()
    load.start()
    await options.runSteps({
      cluster,
      load,
      sleep: async (ms) => await new Promise((resolve) => setTimeout(resolve, ms)),
      expectBreaks: (host) => { killed.set(host, Date.now()) },
      expectCap: (cap) => { caps.push(cap) }
    })
    await load.stop()
    reportStalls('callers', stalls, startMs)
    const proxy = await cluster.standIns.readProxyCounts()
    reportStalls('proxy', proxy.stalls, startMs)
    const promises = await checkPromises(cluster, load.records, { caps, killed })
    if (promises.cutRequests > 0) reportBreaks(load.records, startMs, proxy.refused)
    const servedPart = (fromMs: number, toMs: number): number => {
      const due = load.records.filter(({ intendedMs }) => intendedMs >= startMs + fromMs && intendedMs < startMs + toMs)
      return due.filter(({ result }) => result === 'ok').length / Math.max(1, due.length)
    }
    return { promises, records: load.records, servedShare: servedPart }
  } finally {
    stallWatch.stop()
    await cluster.close()
  }
}

/** Prints the broken connections, for the log of a failed run. */
function reportBreaks (records: readonly CallRecord[], startMs: number, refused: readonly RefusedConnection[]): void {
  for (const { requestId, kind, result, breaks } of records) {
    for (const { host, client, sentAtMs, atMs, reason } of breaks) {
      const refusal = refused.some((row) => row.client === client) ? ' (refused at the proxy)' : ''
      console.error(`broken: ${requestId} ${kind} ${result} at ${host} from ${Math.round(sentAtMs - startMs)} to ${Math.round(atMs - startMs)} ms: ${reason}${refusal}`)
    }
  }
}

/** Prints when a process of the stand-ins stood still, for the log of a failed run; times in ms since the traffic started. */
function reportStalls (name: string, stalls: ReadonlyArray<readonly [number, number]>, startMs: number): void {
  const times = stalls.filter(([, untilMs]) => untilMs > startMs).map(([fromMs, untilMs]) => `${Math.round(fromMs - startMs)} to ${Math.round(untilMs - startMs)}`)
  if (times.length > 0) console.error(`${name} stood still from ${times.join(', ')} ms`)
}
