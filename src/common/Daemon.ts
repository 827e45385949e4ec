/** A running daemon. */
export abstract class Daemon {
  /** Stops the daemon gracefully; called once, on SIGTERM or SIGINT. */
  abstract stop (): Promise<void>
}
