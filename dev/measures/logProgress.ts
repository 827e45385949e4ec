/** Prints progress to stderr; stdout is reserved for the measured values. */
export function logProgress (text: string): void {
  process.stderr.write(`${new Date().toISOString().slice(11, 19)} ${text}\n`)
}
