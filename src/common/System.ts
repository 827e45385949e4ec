/** A periodic task that processes its tables on each tick of a scheduler. */
export abstract class System {
  /** Name for the log when a run fails. */
  abstract readonly name: string

  /** Runs once; `nowMs` is the monotonic time of the tick. */
  abstract run (nowMs: number): void
}
