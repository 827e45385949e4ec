import { Clock } from './Clock.js'

/** The clock of the operating system. */
export class SystemClock extends Clock {
  override nowMs (): number {
    return performance.now()
  }

  override wallMs (): number {
    return Date.now()
  }
}
