/** A unit of work that runs over its tables on each tick of a scheduler. */
export abstract class System {
  /** Name used in logs when a run fails. */
  abstract readonly name: string

  /** Runs once; `nowMs` is the monotonic time of the tick. */
  abstract run (nowMs: number): void
}
