import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Command } from 'commander'
import { readPositive } from './common/readPositive.js'
import { HostUnderLoad } from './measures/HostUnderLoad.js'

/** Options of the command line. */
interface HostCostArguments {
  readonly script: readonly string[]
  readonly rounds: number
  readonly requests: number
  readonly callers: number
  readonly newConnections?: boolean
}

const firstNetwork = 60

const args = new Command('host-cost')
  .description('Measures the processor time of a host process for one request; several programs take turns, so that they share the state of the machine.')
  .option('--script <files...>', 'programs of the hosts, such as those of earlier releases', ['dist/platform/shuntHost.js'])
  .option('--rounds <n>', 'measured phases of each program', readPositive, 7)
  .option('--requests <n>', 'requests of a phase', readPositive, 4_000)
  .option('--callers <n>', 'callers at the same time', readPositive, 16)
  .option('--new-connections', 'open a connection for each request')
  .parse()
  .opts<HostCostArguments>()

const folder = mkdtempSync(join(tmpdir(), 'host-cost-'))
const phase = { requests: args.requests, callers: args.callers, usesNewConnections: args.newConnections === true }
const hosts = args.script.map((script, index) => ({ script, host: new HostUnderLoad({ script, network: firstNetwork + index, folder }), values: new Array<number>() }))
try {
  for (const { host } of hosts) {
    await host.start()
    // The first requests run before the compiler has optimized the code.
    await host.measure(phase)
  }
  for (let round = 0; round < args.rounds; round++) {
    for (const { host, values } of hosts) values.push(await host.measure(phase))
  }
} finally {
  await Promise.all(hosts.map(async ({ host }) => { await host.close() }))
}
for (const { script, values } of hosts) {
  const sorted = values.toSorted((a, b) => a - b)
  console.log(`script=${script} requests=${args.requests} median_us=${Math.round(sorted[Math.floor(sorted.length / 2)]!)} min_us=${Math.round(sorted[0]!)} max_us=${Math.round(sorted.at(-1)!)}`)
}
