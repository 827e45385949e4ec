import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Command } from 'commander'
import { groupBy } from './common/groupBy.js'
import { readPositive } from './common/readPositive.js'
import { runSoak } from './soak/runSoak.js'
import type { SoakOptions } from './soak/SoakOptions.js'
import { soakSeeds } from './soak/soakSeeds.js'

/** Options of the command line. */
interface SoakArguments {
  readonly seed: number
  readonly seeds: number
  readonly minutes: number
  readonly hosts: number
  readonly endpoints: number
  readonly callers: number
  readonly overlap: number
  readonly profile?: string
  readonly quiet?: boolean
  readonly kept?: boolean
  readonly silentConnections?: boolean
  readonly regionDelay?: number
  readonly linkRate?: number
  readonly growingConfig?: boolean
  readonly restartingEndpoints?: boolean
  readonly script: string
}

const secondsPerMinute = 60
/** Findings of one promise that are printed; their number is printed with them. */
const shownPerPromise = 3

const args = new Command('soak')
  .description('Runs host processes with stand-ins and injects faults at random; exits with 1 when a promise was broken.')
  .option('--seed <n>', 'first seed of the faults and of the callers', readPositive, 1)
  .option('--seeds <n>', 'runs, each with the next seed', readPositive, 1)
  .option('--minutes <n>', 'time of a run with faults', readPositive, 0.5)
  .option('--hosts <n>', 'host processes', readPositive, 4)
  .option('--endpoints <n>', 'addresses of endpoints', readPositive, 8)
  .option('--callers <n>', 'callers', readPositive, 30)
  .option('--overlap <n>', 'faults at the same time, in the mean', readPositive, 2)
  .option('--profile <folder>', 'folder for CPU profiles of the hosts')
  .option('--quiet', 'print findings only')
  .option('--kept', 'play the seeds that once found something')
  .option('--silent-connections', 'add connections that fall silent for good, moved routes and withdrawn entries to the faults')
  .option('--region-delay <ms>', 'one-way delay between regions', readPositive)
  .option('--link-rate <bytes>', 'bytes a second that a host sends to other hosts and exchanges with the store', readPositive)
  .option('--growing-config', 'add configurations that grow by many routes to the faults')
  .option('--restarting-endpoints', 'add endpoints that restart and copy their refusals to the faults, with callers in all regions')
  .option('--script <file>', 'program of the hosts, such as that of an earlier release', 'dist/platform/shuntHost.js')
  .parse()
  .opts<SoakArguments>()

const runs: ReadonlyArray<Pick<SoakOptions, 'seed' | 'seconds'> & { readonly options?: Partial<SoakOptions> }> = args.kept === true
  ? soakSeeds
  : Array.from({ length: args.seeds }, (_value, index) => ({ seed: args.seed + index, seconds: args.minutes * secondsPerMinute }))
let broken = 0
for (const { seed, seconds, options = {} } of runs) {
  const folder = mkdtempSync(join(tmpdir(), `soak-${seed}-`))
  const plan: SoakOptions = {
    seed,
    seconds,
    hosts: args.hosts,
    endpoints: args.endpoints,
    callers: args.callers,
    overlap: args.overlap,
    silencesConnections: args.silentConnections === true,
    regionDelayMs: args.regionDelay ?? 0,
    linkBytesPerSecond: args.linkRate,
    growsConfig: args.growingConfig === true,
    restartsEndpoints: args.restartingEndpoints === true,
    ...options
  }
  const result = await runSoak({
    ...plan,
    folder,
    script: args.script,
    nodeArgs: args.profile === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${args.profile}`],
    onLine: (line) => { if (args.quiet !== true) console.log(line) }
  })
  const { findings, faults, requests, served } = result
  for (const [promise, rows] of groupBy(findings, (finding) => finding.promise)) {
    for (const { detail } of rows.slice(0, shownPerPromise)) console.log(`seed=${seed} broken="${promise}" count=${rows.length} detail="${detail}"`)
  }
  console.log(`seed=${seed} hosts=${plan.hosts} endpoints=${plan.endpoints} faults=${faults} requests=${requests} served=${served} findings=${findings.length}${findings.length > 0 ? ` logs=${folder}` : ''}`)
  if (findings.length === 0) rmSync(folder, { recursive: true, force: true })
  else broken += 1
}
process.exit(broken > 0 ? 1 : 0)
