import type { Logger } from '../common/Logger.js'
import { System } from '../common/System.js'
import type { PeerTraffic } from './PeerTraffic.js'

/** Time in ms between two log lines. */
const logIntervalMs = 1_000

/** Logs once a second what was exchanged with other hosts, when exchanges failed or whole tables were sent. */
export class PeerTrafficLogSystem extends System {
  override readonly name = 'peer-traffic'
  private nextLogAtMs = -Infinity

  constructor (private readonly traffic: PeerTraffic, private readonly logger: Logger) {
    super()
  }

  override run (nowMs: number): void {
    if (nowMs < this.nextLogAtMs) return
    this.nextLogAtMs = nowMs + logIntervalMs
    const { failures, longestMs, ...sums } = this.traffic.takeSums()
    if (failures.size === 0 && sums.wholeTables === 0) return
    this.logger.info('peer-traffic', { ...sums, longestMs: Math.round(longestMs), ...Object.fromEntries(failures) })
  }
}
