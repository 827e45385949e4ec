import { readFileSync } from 'node:fs'

/**
 * Runs a stand-in as a child process: reads its plan from the JSON file named on the command line, starts it,
 * prints `ready`, and exits when stdin closes, which happens whenever the parent exits or is killed.
 */
export function runChild<Plan> (start: (plan: Plan) => Promise<void>): void {
  const file = process.argv[2]
  if (file === undefined) throw new Error('usage: node FILE.js PLAN.json')
  process.stdin.on('end', () => process.exit(0))
  process.stdin.on('error', () => process.exit(0))
  process.stdin.resume()
  process.on('SIGTERM', () => process.exit(0))
  // Ctrl-C signals the whole foreground process group, but the parent still reads the final counts from the stand-ins.
  process.on('SIGINT', () => {})
  start(JSON.parse(readFileSync(file, 'utf8')) as Plan).then(
    () => process.stdout.write('ready\n'),
    (err: unknown) => {
      process.stderr.write(`${String(err)}\n`)
      process.exit(1)
    })
}
