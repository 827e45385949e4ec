/** Source of monotonic and wall-clock time. */
export abstract class Clock {
  /** Monotonic time in ms; only differences are meaningful. */
  abstract nowMs (): number
  /** Wall time in ms since the Unix epoch; may jump. */
  abstract wallMs (): number
}
