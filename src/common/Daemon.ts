/** A started daemon. */
export abstract class Daemon {
  /** Stops cleanly; called once, on SIGTERM or SIGINT. */
  abstract stop (): Promise<void>
}
