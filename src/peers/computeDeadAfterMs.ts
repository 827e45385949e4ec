import { peerLimits } from './peerLimits.js'

/**
 * Returns the time in ms without a heartbeat after which a host is considered down. Heartbeats are rarer with many hosts, and one that
 * is lost must not count as the end of a host.
 */
export function computeDeadAfterMs (heartbeatIntervalMs: number): number {
  return Math.max(peerLimits.deadAfterMs, 2 * heartbeatIntervalMs + peerLimits.heartbeatTimeoutMs)
}
