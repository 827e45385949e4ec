import { CalmLog } from './CalmLog.js'
import type { SoakOrder } from './SoakOrder.js'
import type { SoakRequest } from './SoakRequest.js'
import type { SoakRun } from './SoakRun.js'

/** All that callers, endpoints and the store saw in a run. */
export class SoakLedger {
  readonly requests: SoakRequest[] = []
  readonly runs: SoakRun[] = []
  readonly orders: SoakOrder[] = []
  /** Disturbances that excuse a host from promises with a time. */
  readonly calm = new CalmLog()
  /** The same without planned stops and changes of settings, which excuse no lost request. */
  readonly unplanned = new CalmLog()
  /** Time in ms from which nothing is disturbed any more. */
  calmFromMs = Infinity
  /** Ends of host processes that nobody ordered, and errors that hosts logged. */
  readonly hostFaults: string[] = []

  /** Begins an unplanned disturbance of some hosts; the returned function ends it. */
  disturbHosts (names: readonly string[]): () => void {
    const startMs = performance.now()
    const ends = names.flatMap((name) => [this.calm, this.unplanned].map((log) => log.disturb(name, startMs)))
    return () => {
      const endMs = performance.now()
      for (const end of ends) end(endMs)
    }
  }
}
