import { writeFileSync } from 'node:fs'
import { Command, Option } from 'commander'
import type { Measurement } from './measures/Measurement.js'
import { measureAddedCpu } from './measures/measureAddedCpu.js'
import { measureHeadroom } from './measures/measureHeadroom.js'
import type { MeasurementOptions } from './measures/MeasurementOptions.js'
import { measureTraffic } from './measures/measureTraffic.js'
import { logProgress } from './measures/logProgress.js'

/** Groups of measures by name; each runs on clusters of its own. */
const groups: Readonly<Record<string, (options: MeasurementOptions) => Promise<Measurement[]>>> = {
  traffic: measureTraffic,
  headroom: measureHeadroom,
  cpu: measureAddedCpu
}

const program = new Command()
  .name('measure')
  .description('Measures a deployment from outside and prints one line per measure.')
  .addOption(new Option('--deployment <name>', 'example deployment').choices(['caroni', 'kimberley']).default('caroni'))
  .option('--seconds <number>', 'length of each phase of traffic in s', Number, 20)
  .addOption(new Option('--policy <name>', 'the project or a baseline').choices(['project', 'random', 'local', 'passthrough']).default('project'))
  .option('--seed <number>', 'seed of arrivals and service times', Number, 1)
  .option('--network <octet>', 'second octet of the loopback network', Number, 51)
  .option('--only <groups...>', `groups to run: ${Object.keys(groups).join(', ')}`)
  .option('--json <file>', 'also write the measures to a file')
  .parse()
const options = program.opts<MeasurementOptions & { only?: string[], json?: string }>()

const measures: Measurement[] = []
for (const [name, measure] of Object.entries(groups)) {
  const wanted = options.only?.includes(name) ?? (name !== 'cpu' || options.policy === 'project')
  if (!wanted) continue
  logProgress(`group ${name}`)
  for (const row of await measure(options)) {
    measures.push(row)
    console.log(`measure=${row.name} value=${row.value} unit=${row.unit}`)
  }
}
if (options.json !== undefined) writeFileSync(options.json, `${JSON.stringify({ ...options, measures }, undefined, 2)}\n`)
