import { sleep } from '../../src/common/sleep.js'
import { checkSoakPromises } from './checkSoakPromises.js'
import { createSoakFaults } from './createSoakFaults.js'
import type { SoakFinding } from './SoakFinding.js'
import type { SoakFault } from './SoakFault.js'
import type { SoakHistory } from './SoakHistory.js'
import { soakLimits } from './soakLimits.js'
import type { SoakOptions } from './SoakOptions.js'
import { SoakCluster } from './SoakCluster.js'

/** Findings and counts of a run of the soak. */
interface SoakResult {
  readonly findings: readonly SoakFinding[]
  readonly requests: number
  readonly served: number
  readonly faults: number
}

/** Options of a run in addition to its size and seed. */
interface SoakRunOptions extends SoakOptions {
  readonly folder: string
  readonly script: string
  readonly nodeArgs?: readonly string[]
  readonly onLine: (line: string) => void
}

const okStatus = 200
const minHoldMs = 300
const maxHoldMs = 4_000
const meanHoldMs = (minHoldMs + maxHoldMs) / 2

/** Starts a cluster, injects overlapping faults, waits for the recovery after they are reverted, and checks the recorded history. */
export async function runSoak (options: SoakRunOptions): Promise<SoakResult> {
  const cluster = new SoakCluster({ ...options, nodeArgs: options.nodeArgs ?? [] })
  let faults = 0
  try {
    await cluster.start()
    faults = await injectFaults(cluster, options)
    cluster.history.faultsEndedMs = performance.now()
    await waitForRecovery(cluster.history)
  } finally {
    await cluster.close()
  }
  const { requests } = cluster.history
  const served = requests.filter((request) => request.status === okStatus).length
  return { findings: checkSoakPromises(cluster.history), requests: requests.length, served, faults }
}

/** Injects faults for `seconds`, waits until all of them are reverted, and returns their number. */
async function injectFaults (cluster: SoakCluster, { seconds, overlap, onLine, ...kinds }: SoakRunOptions): Promise<number> {
  const startMs = performance.now()
  const endMs = startMs + seconds * 1_000
  const choices = createSoakFaults(kinds).map((fault) => ({ weight: fault.weight, choice: fault }))
  const injections: Array<Promise<void>> = []
  while (performance.now() < endMs) {
    const fault = cluster.random.pick<SoakFault>(choices)
    const holdMs = minHoldMs + cluster.random.next() * (maxHoldMs - minHoldMs)
    const atMs = Math.round(performance.now() - startMs)
    injections.push(fault.inject(cluster, holdMs).then((target) => onLine(`atMs=${atMs} fault=${fault.name} holdMs=${Math.round(holdMs)} target="${target}"`)))
    await sleep(cluster.random.exponential(meanHoldMs / overlap))
  }
  await Promise.all(injections)
  return injections.length
}

/** Waits until the recovery and the check behind it are over, counted from the last fault or from a later stall of this process. */
async function waitForRecovery (history: SoakHistory): Promise<void> {
  for (;;) {
    const leftMs = history.faultsEndedMs + soakLimits.recoveryMs + soakLimits.recoveryCheckMs - performance.now()
    if (leftMs <= 0 || history.lateStalls >= soakLimits.maxLateStalls) return
    await sleep(leftMs)
  }
}
