import { checkSoakPromises } from './checkSoakPromises.js'
import { createSoakFaults } from './createSoakFaults.js'
import type { SoakFinding } from './SoakFinding.js'
import type { SoakFault } from './SoakFault.js'
import { soakLimits } from './soakLimits.js'
import type { SoakOptions } from './SoakOptions.js'
import { SoakWorld } from './SoakWorld.js'

/** What a run of the soak showed. */
interface SoakResult {
  readonly findings: readonly SoakFinding[]
  readonly requests: number
  readonly served: number
  readonly faults: number
}

/** A run beside its size. */
interface SoakRunOptions extends SoakOptions {
  readonly folder: string
  readonly script: string
  readonly nodeArgs?: readonly string[]
  readonly onLine: (line: string) => void
}

const okStatus = 200
const leastHoldMs = 300
const mostHoldMs = 4_000
const meanHoldMs = (leastHoldMs + mostHoldMs) / 2

/** Starts a world, injects faults in overlapping series, heals them, and checks what callers and endpoints saw. */
export async function runSoak (options: SoakRunOptions): Promise<SoakResult> {
  const world = new SoakWorld({ ...options, nodeArgs: options.nodeArgs ?? [] })
  let faults = 0
  try {
    await world.start()
    faults = await injectFaults(world, options)
    world.ledger.calmFromMs = performance.now()
    await sleep(soakLimits.recoveryMs + soakLimits.calmEndMs)
  } finally {
    await world.close()
  }
  const { requests } = world.ledger
  const served = requests.filter((request) => request.status === okStatus).length
  return { findings: checkSoakPromises(world.ledger), requests: requests.length, served, faults }
}

/** Plays faults until the time is over and all of them have been taken back; returns their number. */
async function injectFaults (world: SoakWorld, { seconds, overlap, onLine }: SoakRunOptions): Promise<number> {
  const startMs = performance.now()
  const endMs = startMs + seconds * 1_000
  const choices = createSoakFaults().map((fault) => ({ weight: fault.weight, choice: fault }))
  const playing: Array<Promise<void>> = []
  while (performance.now() < endMs) {
    const fault = world.random.pick<SoakFault>(choices)
    const holdMs = leastHoldMs + world.random.next() * (mostHoldMs - leastHoldMs)
    const atMs = Math.round(performance.now() - startMs)
    playing.push(fault.play(world, holdMs).then((target) => onLine(`atMs=${atMs} fault=${fault.name} holdMs=${Math.round(holdMs)} target="${target}"`)))
    await sleep(world.random.exponential(meanHoldMs / overlap))
  }
  await Promise.all(playing)
  return playing.length
}

async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}
