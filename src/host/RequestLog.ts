import type { Clock } from '../common/Clock.js'
import type { Logger } from '../common/Logger.js'
import { hostLimits } from './hostLimits.js'

/** Fields of a line about one request. */
type RequestFields = Readonly<Record<string, string | number | boolean | undefined>>

const windowMs = 1_000

/**
 * Lines about single requests, bounded a second so that an overload is not made worse by its own log. What is left out
 * is counted, and the count is written with the next line that has room.
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
