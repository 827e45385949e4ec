/** Prints progress; stdout is for the measures. */
export function report (text: string): void {
  process.stderr.write(`${new Date().toISOString().slice(11, 19)} ${text}\n`)
}
