import { Counter } from 'prom-client'
import type { Registry } from 'prom-client'
import type { Clock } from '../common/Clock.js'
import type { InputEdge } from '../common/InputEdge.js'
import type { Logger } from '../common/Logger.js'

/** Dependencies of the record. */
interface RejectedInputOptions {
  readonly registry: Registry
  readonly clock: Clock
  readonly logger: Logger
}

/** Log lines of one edge in its current window. */
interface LogWindow {
  startMs: number
  lines: number
  suppressed: number
}

const windowMs = 1_000
/** Maximum number of lines about one edge in a window; a writer may change a bad entry many times a second. */
const maxLinesPerWindow = 10

/** Counts input that a decoder rejected, by edge and reason, and logs it at a bounded rate. */
export class RejectedInput {
  private readonly counter: Counter
  private readonly windows = new Map<InputEdge, LogWindow>()

  constructor (private readonly options: RejectedInputOptions) {
    this.counter = new Counter({
      name: 'shunt_input_rejected_total',
      help: 'Input from outside that was rejected, by edge and reason',
      labelNames: ['edge', 'reason'],
      registers: [options.registry]
    })
  }

  /** Records one rejection; `reason` is the event of its log line and one of a few fixed texts. */
  record (edge: InputEdge, reason: string, fields: Readonly<Record<string, string | number>>): void {
    this.counter.inc({ edge, reason })
    const window = this.findWindow(edge)
    if (window.lines >= maxLinesPerWindow) {
      window.suppressed += 1
      return
    }
    window.lines += 1
    this.options.logger.warn(reason, window.suppressed === 0 ? fields : { ...fields, suppressed: window.suppressed })
    window.suppressed = 0
  }

  private findWindow (edge: InputEdge): LogWindow {
    const nowMs = this.options.clock.nowMs()
    const window = this.windows.get(edge) ?? { startMs: nowMs, lines: 0, suppressed: 0 }
    this.windows.set(edge, window)
    if (nowMs - window.startMs >= windowMs) {
      window.startMs = nowMs
      window.lines = 0
    }
    return window
  }
}
