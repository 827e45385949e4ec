/** Fields of a log event; undefined values are left out. */
type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Writes one line per event for one module. */
export abstract class Logger {
  abstract debug (event: string, fields?: LogFields): void
  abstract info (event: string, fields?: LogFields): void
  abstract warn (event: string, fields?: LogFields): void
  abstract error (event: string, fields?: LogFields): void
}
