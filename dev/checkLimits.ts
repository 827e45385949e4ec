import { Command, InvalidArgumentError, Option } from 'commander'
import { readPositive } from './common/readPositive.js'
import { createLimitBounds } from './limits/createLimitBounds.js'
import type { LimitEvent } from './limits/LimitEvent.js'
import { LimitProcess } from './limits/LimitProcess.js'
import { limitRunSizes } from './limits/limitRunSizes.js'
import { runLimitCheck } from './limits/runLimitCheck.js'

/** Options of the command line. */
interface CheckArguments {
  readonly seed: number
  /** Smallest and largest number of hosts. */
  readonly hosts: readonly [number, number]
  readonly minutes: number
  readonly without: ReadonlyArray<LimitEvent['kind']>
  readonly bound?: string
}

const msPerMinute = 60_000
const maxTraces = 10_000_000
const bounds = createLimitBounds()

/**
 * Parses a number of hosts or a range of them.
 * @throws {InvalidArgumentError} for any other text
 */
function readRange (text: string): readonly [number, number] {
  const match = /^(\d+)(?:\.\.(\d+))?$/.exec(text)
  const range = [Number(match?.[1]), Number(match?.[2] ?? match?.[1])] as const
  if (match === null || range[0] < 1 || range[0] > range[1] || range[1] > limitRunSizes.maxHosts) throw new InvalidArgumentError(`must be N or N..M, from 1 to ${limitRunSizes.maxHosts}`)
  return range
}

const args = new Command('check-limits')
  .description('Plays troubles with the allocators of the limits that all hosts keep together; exits with 1 when a window exceeds its limit.')
  .option('--seed <n>', 'seed of the walks', readPositive, 1)
  .option('--hosts <n..m>', 'number of hosts at the start of a trace', readRange, [2, 7] as const)
  .option('--minutes <n>', 'time for each bound', readPositive, 0.5)
  .option('--without <kind...>', 'kinds of events that don\'t happen', [])
  .addOption(new Option('--bound <name>', 'one bound only').choices(bounds.map(({ name }) => name)))
  .parse()
  .opts<CheckArguments>()

const [minHosts, maxHosts] = args.hosts
let states = 0
let traces = 0
let findings = 0
for (const bound of bounds.filter(({ name }) => args.bound === undefined || args.bound === name)) {
  const result = runLimitCheck(bound, {
    seed: args.seed,
    minHosts,
    maxHosts,
    excluded: args.without,
    timeLimitMs: args.minutes * msPerMinute,
    maxTraces,
    create: (options) => new LimitProcess(options),
    onLine: (line) => console.log(line)
  })
  states += result.states
  traces += result.traces
  console.log(`bound=${bound.name} traces=${result.traces} states=${result.states} shortTraces=${result.isComplete ? 'all' : 'some'}`)
  if (result.finding === undefined) continue
  findings += 1
  console.log(`finding bound=${bound.name} seed=${args.seed} excess=${JSON.stringify(result.finding.excess)} trace=${JSON.stringify(result.finding.trace)}`)
}
console.log(`seed=${args.seed} states=${states} traces=${traces} findings=${findings}`)
process.exit(findings > 0 ? 1 : 0)
