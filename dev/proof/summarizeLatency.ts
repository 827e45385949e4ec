import { build } from 'hdr-histogram-js'
import type { CallRecord } from '../callers/CallRecord.js'

/** Latency of completely answered requests in ms. */
interface LatencySummary {
  readonly count: number
  readonly p50: number
  readonly p99: number
  readonly max: number
}

const unitsPerMs = 100

/** Summarizes the latency, from the time at which a request was due, of the requests that were answered completely. */
export function summarizeLatency (records: readonly CallRecord[]): LatencySummary {
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 100_000_000, numberOfSignificantValueDigits: 3 })
  const answered = records.filter(({ result }) => result === 'ok')
  for (const { latencyMs } of answered) histogram.recordValue(Math.max(1, Math.round(latencyMs * unitsPerMs)))
  const toMs = (value: number): number => Math.round(value / unitsPerMs * 10) / 10
  return {
    count: answered.length,
    p50: toMs(histogram.getValueAtPercentile(50)),
    p99: toMs(histogram.getValueAtPercentile(99)),
    max: toMs(histogram.maxValue)
  }
}
