import type { EndpointRow } from '../endpoints/EndpointRow.js'
import { estimateLoad } from '../endpoints/estimateLoad.js'

/** Computes the busy share of the endpoints' slots, from 0 to 1; 0 when there are no slots. */
export function computeUtilization (rows: readonly EndpointRow[], nowMs: number): number {
  let slots = 0
  let busy = 0
  for (const row of rows) {
    slots += row.record.slots
    busy += Math.min(row.record.slots, estimateLoad(row, nowMs))
  }
  return slots === 0 ? 0 : busy / slots
}
