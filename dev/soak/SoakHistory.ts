import { DisturbanceLog } from './DisturbanceLog.js'
import type { SoakArrival } from './SoakArrival.js'
import type { SoakChange } from './SoakChange.js'
import type { SoakRequest } from './SoakRequest.js'
import type { SoakRun } from './SoakRun.js'

/** Requests, arrivals, runs, configuration changes and disturbances that were recorded during a run of the soak. */
export class SoakHistory {
  readonly requests: SoakRequest[] = []
  readonly arrivals: SoakArrival[] = []
  readonly runs: SoakRun[] = []
  readonly changes: SoakChange[] = []
  /** Disturbances during which a host is exempt from promises with a time bound. */
  readonly disturbances = new DisturbanceLog()
  /** Disturbances without planned stops and store faults, which don't excuse a lost request; settings changes are in neither log. */
  readonly unplannedDisturbances = new DisturbanceLog()
  /** Time in ms at which the last fault had been reverted. */
  faultsEndedMs = Infinity
  /** Unexpected exits, failed planned stops, excessive memory and logged internal errors of host processes. */
  readonly hostErrors: string[] = []
  /** Number of times that the process of the soak stood still after the last fault. */
  lateStalls = 0

  /** Begins an unplanned disturbance of some hosts; the returned function ends it. */
  disturbHosts (names: readonly string[]): () => void {
    const startMs = performance.now()
    const ends = names.flatMap((name) => [this.disturbances, this.unplannedDisturbances].map((log) => log.begin(name, startMs)))
    return () => {
      const endMs = performance.now()
      for (const end of ends) end(endMs)
    }
  }

  /** Records that the process of the soak stood still. After the last fault, the recovery begins anew. */
  recordStall (hosts: readonly string[], fromMs: number, untilMs: number): void {
    for (const log of [this.disturbances, this.unplannedDisturbances]) {
      for (const name of [...hosts, 'store']) log.begin(name, fromMs)(untilMs)
    }
    if (untilMs < this.faultsEndedMs) return
    this.faultsEndedMs = untilMs
    this.lateStalls += 1
  }
}
