import type { CallRecord } from '../callers/CallRecord.js'
import type { Cluster } from '../Cluster.js'
import type { BrokenPromises } from './BrokenPromises.js'
import type { CapPeriod } from './CapPeriod.js'
import { measureCapExcess } from './measureCapExcess.js'

/** What happened in a run, besides the records. */
interface RunEvents {
  readonly caps: readonly CapPeriod[]
  /** Wall time in ms at which each killed host was killed; breaks there from then on are expected. */
  readonly killed: ReadonlyMap<string, number>
}

/** Time in ms that news of a broken connection takes to reach a caller before the kill returns. */
const killLeadMs = 100

/** Compares what callers were told with what the stand-ins saw. */
export async function checkPromises (cluster: Cluster, records: readonly CallRecord[], { caps, killed }: RunEvents): Promise<BrokenPromises> {
  const truth = await cluster.standIns.readTruth()
  const excess = measureCapExcess(truth, caps)
  return {
    capExcess: excess.reduce((sum, { requests, concurrency, inRegion }) => sum + requests + concurrency + inRegion, 0),
    regionOverload: truth.totals.regionOverload,
    cutRequests: countCuts(records, killed),
    duplicateRuns: Math.max(truth.duplicateKeys.length, truth.duplicateRequests.length),
    falseNotRun: await countFalseNotRun(cluster, records),
    mixedAnswers: records.filter(({ result }) => result === 'mixed').length,
    lateNewWork: Object.values(truth.endpoints).reduce((sum, { lateNewWork }) => sum + lateNewWork, 0)
  }
}

function countCuts (records: readonly CallRecord[], killed: ReadonlyMap<string, number>): number {
  const isExpected = (host: string, atMs: number): boolean => atMs >= (killed.get(host) ?? Infinity) - killLeadMs
  return records.filter(({ breaks }) => breaks.some(({ host, atMs }) => !isExpected(host, atMs))).length
}

/**
 * A refusal of a request with a key speaks for the key. Without a key it speaks for its own attempt only, so
 * requests that were sent again after a broken connection are left out.
 */
async function countFalseNotRun (cluster: Cluster, records: readonly CallRecord[]): Promise<number> {
  const refused = records.filter(({ result, key, breaks }) => result === 'notRun' && (key !== undefined || breaks.length === 0))
  const keys = refused.map(({ customer, key, requestId }) => `${customer} ${key ?? requestId}`)
  const runs = await cluster.standIns.readRuns(keys, refused.map(({ requestId }) => requestId))
  return refused.filter((_, index) => runs.keys[index]! > 0 || runs.requestIds[index]! > 0).length
}
