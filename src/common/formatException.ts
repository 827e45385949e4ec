/** Formats a thrown value for a log line, with its stack when it has one. */
export function formatException (error: unknown): string {
  return error instanceof Error ? error.stack ?? error.message : String(error)
}
