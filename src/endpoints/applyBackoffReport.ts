import { endpointLimits } from './endpointLimits.js'
import type { EndpointRow } from './EndpointRow.js'

/** A report as this host received it. Times are monotonic ms. */
interface ReceivedBackoff {
  readonly bornAtMs: number
  readonly leftMs: number
  readonly receivedAtMs: number
  /** Time in ms within which the host that reports can tell this one that the endpoint asked again. */
  readonly heartbeatIntervalMs: number
}

/**
 * Leaves an endpoint out because it asked another host for a time without requests. That host returns first. Otherwise an endpoint that
 * is still overloaded would get requests of all hosts at the same moment.
 */
export function applyBackoffReport ({ record, announced }: EndpointRow, { bornAtMs, leftMs, receivedAtMs, heartbeatIntervalMs }: ReceivedBackoff): void {
  if (record.bornAtMs !== bornAtMs) return
  const untilMs = receivedAtMs + Math.min(leftMs, endpointLimits.maxBackoffMs) + heartbeatIntervalMs
  announced.backoffUntilMs = Math.max(announced.backoffUntilMs, untilMs)
}
