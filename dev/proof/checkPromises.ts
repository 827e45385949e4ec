import type { CallRecord } from '../callers/CallRecord.js'
import type { Cluster } from '../Cluster.js'
import type { BrokenPromises } from './BrokenPromises.js'
import type { CapPeriod } from './CapPeriod.js'
import { measureCapExcess } from './measureCapExcess.js'

/** Caps and failures of a run that the check takes into account. */
interface RunEvents {
  readonly caps: readonly CapPeriod[]
  /** Wall time in ms at which each host was killed or paused; connections that break there from then on are expected. */
  readonly killed: ReadonlyMap<string, number>
}

/** Time in ms by which a caller may see a broken connection before the kill is recorded. */
const breakLeadMs = 100

/** Compares the answers that callers received with the requests that the stand-ins observed. */
export async function checkPromises (cluster: Cluster, records: readonly CallRecord[], { caps, killed }: RunEvents): Promise<BrokenPromises> {
  const truth = await cluster.standIns.readTruth()
  const excess = measureCapExcess(truth, caps)
  return {
    capExcess: excess.reduce((sum, { requests, concurrency, inRegion }) => sum + requests + concurrency + inRegion, 0),
    regionOverload: truth.totals.regionOverload,
    cutRequests: countCutRequests(records, killed),
    duplicateRuns: Math.max(truth.duplicateKeys.length, truth.duplicateRequests.length),
    falseNotRun: await countFalseNotRun(cluster, records),
    mixedAnswers: records.filter(({ result }) => result === 'mixed').length,
    lateNewWork: Object.values(truth.endpoints).reduce((sum, { lateNewWork }) => sum + lateNewWork, 0)
  }
}

function countCutRequests (records: readonly CallRecord[], killed: ReadonlyMap<string, number>): number {
  const isExpected = (host: string, atMs: number): boolean => atMs >= (killed.get(host) ?? Infinity) - breakLeadMs
  return records.filter(({ breaks }) => breaks.some(({ host, atMs }) => !isExpected(host, atMs))).length
}

/**
 * Counts refused requests that ran all the same. A refusal of a request with an idempotency key covers all attempts with
 * that key. Without a key it covers only its own attempt, so requests that were retried after a broken connection don't count.
 */
async function countFalseNotRun (cluster: Cluster, records: readonly CallRecord[]): Promise<number> {
  const refused = records.filter(({ result, key, breaks }) => result === 'notRun' && (key !== undefined || breaks.length === 0))
  const keys = refused.map(({ customer, key, requestId }) => `${customer} ${key ?? requestId}`)
  const runs = await cluster.standIns.readRuns(keys, refused.map(({ requestId }) => requestId))
  return refused.filter((_, index) => runs.keys[index]! > 0 || runs.requestIds[index]! > 0).length
}
