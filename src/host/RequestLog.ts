import type { Clock } from '../common/Clock.js'
import type { Logger } from '../common/Logger.js'
import { hostLimits } from './hostLimits.js'

/** Fields of a log line about one request. */
type RequestFields = Readonly<Record<string, string | number | boolean | undefined>>

const windowMs = 1_000

/**
 * Writes log lines about single requests, rate-limited so that logging does not worsen an overload. Suppressed lines are
 * counted, and the count is added to the next line that is written.
 */
export class RequestLog {
  private windowStartMs = 0
  private linesInWindow = 0
  private suppressed = 0

  constructor (
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly onSuppressed: () => void
  ) {}

  write (event: string, fields: RequestFields): void {
    const nowMs = this.clock.nowMs()
    if (nowMs - this.windowStartMs >= windowMs) {
      this.windowStartMs = nowMs
      this.linesInWindow = 0
    }
    if (this.linesInWindow >= hostLimits.requestLogLinesPerSecond) {
      this.suppressed += 1
      this.onSuppressed()
      return
    }
    this.linesInWindow += 1
    this.logger.info(event, this.suppressed === 0 ? fields : { ...fields, suppressed: this.suppressed })
    this.suppressed = 0
  }
}
