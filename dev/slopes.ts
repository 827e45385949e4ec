import { Command } from 'commander'
import { fitLine } from './slopes/fitLine.js'
import { measureBlockTable } from './slopes/measureBlockTable.js'
import { measureConfigDocument } from './slopes/measureConfigDocument.js'
import { measureHeartbeats } from './slopes/measureHeartbeats.js'
import { measureLookups } from './slopes/measureLookups.js'
import { measureMemberMemory } from './slopes/measureMemberMemory.js'
import { measureRankingMemory } from './slopes/measureRankingMemory.js'
import { measureShares } from './slopes/measureShares.js'
import type { TargetedSeries } from './slopes/TargetedSeries.js'
import { withTarget } from './slopes/withTarget.js'

const targetNodes = 7_000
const targetBlocks = 4_700_000

/** Groups of slopes by name; a new group has a file of its own in `dev/slopes/`. */
const groups: Readonly<Record<string, () => Promise<TargetedSeries[]>>> = {
  heartbeats: measureHeartbeats,
  config: measureConfigDocument,
  members: measureMemberMemory,
  rankings: measureRankingMemory,
  shares: measureShares,
  lookups: async () => withTarget(measureLookups(), targetNodes),
  blocks: async () => withTarget(await measureBlockTable(), targetBlocks)
}

const program = new Command()
  .name('slopes')
  .description('Measures costs at several sizes and prints a straight-line fit for each.')
  .option('--only <groups...>', `groups to run: ${Object.keys(groups).join(', ')}`)
  .parse()
const { only } = program.opts<{ only?: string[] }>()

function printSlope ({ name, points, target, unit }: TargetedSeries): void {
  const { slope, intercept, r2 } = fitLine(points)
  const sizes = points.map(({ size }) => size).join(',')
  const values = points.map(({ value }) => format(value)).join(',')
  const sign = intercept < 0 ? '-' : '+'
  console.log(`slope=${name} sizes=${sizes} values=${values} fit=${format(slope)}*n${sign}${format(Math.abs(intercept))} r2=${r2.toFixed(4)} ` +
    `target=${Math.round(target)} at_target=${format(intercept + slope * target)} unit=${unit}`)
}

function format (value: number): string {
  return String(Number(value.toPrecision(4)))
}

for (const [name, measure] of Object.entries(groups)) {
  if (only !== undefined && !only.includes(name)) continue
  for (const slope of await measure()) printSlope(slope)
}
