import type { BackoffReport } from './BackoffReport.js'
import type { EndpointRow } from './EndpointRow.js'

/**
 * Lists the endpoints that asked this host itself for a time without requests. What other hosts report isn't passed on, so that it
 * doesn't get longer on the way.
 */
export function listBackoffs (rows: Iterable<EndpointRow>, nowMs: number): BackoffReport[] {
  const backoffs: BackoffReport[] = []
  for (const { record, announced: { ownBackoffUntilMs } } of rows) {
    if (ownBackoffUntilMs > nowMs) backoffs.push([record.id, record.bornAtMs, Math.ceil(ownBackoffUntilMs - nowMs)])
  }
  return backoffs
}
