import { Command } from 'commander'
import { createMixedTraffic } from './callers/createMixedTraffic.js'
import { LoadGenerator } from './callers/LoadGenerator.js'
import type { CallRecord } from './callers/CallRecord.js'
import { Cluster } from './Cluster.js'
import { groupBy } from './common/groupBy.js'
import { checkPromises } from './proof/checkPromises.js'
import { createCapPeriods } from './proof/createCapPeriods.js'
import { measureConfigSpread } from './proof/measureConfigSpread.js'
import { summarizeLatency } from './proof/summarizeLatency.js'
import type { BrokenPromises } from './proof/BrokenPromises.js'

/** When things happen, in ms after the traffic starts. */
const schedule = { floodMs: 3_000, drainMs: 5_000, contractMs: 8_000, killMs: 12_000, floodEndMs: 15_000, endMs: 20_000 }
const drained = 'stock-south-a-1'
const killed = 'north-b-1'
const changed = { customer: 'san-fernando-gyms', rate: 90, concurrency: 30 }
const flooding = { customer: 'discount-hunters', factor: 4 }
const maxListed = 10
const configLimitMs = 6_000

const program = new Command()
  .name('demo')
  .description('Runs a Caroni deployment with traffic, a drain, a contract change and a killed entry host, and checks every promise.')
  .option('--network <octet>', 'second octet of the loopback network', Number, 41)
  .option('--seed <number>', 'seed of arrivals and service times', Number, 1)
  .option('--keep', 'keep the temporary folder with settings and logs')
  .option('--log <level>', 'level of the daemons\' logs: warn, info or debug', 'warn')
  .parse()
const options = program.opts<{ network: number, seed: number, keep?: boolean, log: 'warn' | 'info' | 'debug' }>()

let trafficStartMs = 0

/** What the events of the run measured. */
interface Measures {
  spreadMs: number | undefined
  drainMs: number | undefined
  killedAtMs: number
  loweredAtMs: number
}

function say (text: string): void {
  const seconds = trafficStartMs === 0 ? 0 : (performance.now() - trafficStartMs) / 1_000
  console.log(`${seconds.toFixed(1).padStart(5)} s  ${text}`)
}

async function sleepUntil (atMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, Math.max(0, trafficStartMs + atMs - performance.now())))
}

async function drainUpstream (cluster: Cluster): Promise<number | undefined> {
  say(`operator anna drains upstream ${drained}`)
  const answer = await cluster.operator().drain('upstream', drained)
  const atMs = Date.now()
  await cluster.standIns.markDrain({ endpoint: drained }, atMs)
  if (answer.status >= 300) {
    say(`the drain was refused: ${JSON.stringify(answer.body)}`)
    return undefined
  }
  await new Promise((resolve) => setTimeout(resolve, 2_500))
  const truth = (await cluster.standIns.readTruth()).endpoints[drained]!
  const drainMs = truth.inFlight > 0 ? undefined : Math.max(0, truth.emptyMs - atMs)
  say(`${drained} is empty ${drainMs ?? '?'} ms after the drain was accepted; last new work came ${Math.max(0, truth.lastNewWorkMs - atMs)} ms after`)
  return drainMs
}

async function changeContract (cluster: Cluster): Promise<{ spreadMs: number | undefined, loweredAtMs: number }> {
  say(`operator anna lowers ${changed.customer} to rate ${changed.rate} and concurrency ${changed.concurrency} and adds a credential`)
  const { customer, ...changes } = changed
  const { status, spreadMs } = await measureConfigSpread(cluster, customer, changes)
  const loweredAtMs = Date.now()
  say(status < 300 ? `every host has the change in force after ${spreadMs ?? '?'} ms` : `the change was refused with status ${status}`)
  return { spreadMs, loweredAtMs }
}

async function killHost (cluster: Cluster): Promise<number> {
  say(`host ${killed} is killed`)
  const atMs = Date.now()
  await cluster.killHost(killed)
  return atMs
}

async function playEvents (cluster: Cluster): Promise<Measures> {
  await sleepUntil(schedule.floodMs)
  say(`${flooding.customer} sends ${flooding.factor} times its rate`)
  await sleepUntil(schedule.drainMs)
  const drainMs = await drainUpstream(cluster)
  await sleepUntil(schedule.contractMs)
  const { spreadMs, loweredAtMs } = await changeContract(cluster)
  await sleepUntil(schedule.killMs)
  const killedAtMs = await killHost(cluster)
  await sleepUntil(schedule.floodEndMs)
  say(`${flooding.customer} ends its flood`)
  await sleepUntil(schedule.endMs)
  say('traffic ends')
  return { spreadMs, drainMs, killedAtMs, loweredAtMs }
}

function printTable (load: LoadGenerator): void {
  console.log(`\n${'customer'.padEnd(22)}${'kind'.padEnd(9)}${'sent'.padStart(7)}${'ok'.padStart(7)}${'refused'.padStart(9)}${'broken'.padStart(8)}${'p50 ms'.padStart(9)}${'p99 ms'.padStart(9)}`)
  const groups = groupBy(load.records, ({ customer, kind }) => `${customer.padEnd(22)}${kind.padEnd(9)}`)
  for (const name of [...groups.keys()].sort()) {
    const records = groups.get(name)!
    const { count, p50, p99 } = summarizeLatency(records)
    const refused = records.filter(({ result }) => result === 'notRun' || result === 'unknown').length
    const broken = records.filter(({ result }) => result === 'broken').length
    console.log(`${name}${[records.length, count].map((value) => String(value).padStart(7)).join('')}${String(refused).padStart(9)}${String(broken).padStart(8)}${String(p50).padStart(9)}${String(p99).padStart(9)}`)
  }
  for (const { requestId, kind, customer, host, result, code, latencyMs, breaks } of load.records.filter(isUnusual).slice(0, maxListed)) {
    const reasons = breaks.map((entry) => `${entry.reason}@${entry.host}`).join(',') || 'none'
    console.log(`not answered: ${requestId} ${kind} of ${customer} at ${host}: ${result}/${code} after ${Math.round(latencyMs)} ms, breaks ${reasons}`)
  }
  const codes = groupBy(load.records.filter(({ result }) => result !== 'ok'), ({ result, code }) => `${result}/${code}`)
  console.log(`not ok by result and code: ${[...codes].map(([name, records]) => `${name}=${records.length}`).join(' ') || 'none'}`)
}

/** True for a request that got no answer although its customer kept to its contract. */
function isUnusual ({ customer, result }: CallRecord): boolean {
  return result !== 'ok' && customer !== flooding.customer
}

function isKept (promises: BrokenPromises, { spreadMs, drainMs }: Measures, answered: number): boolean {
  const broken = Object.values(promises).some((count) => count > 0)
  return !broken && answered > 0 && drainMs !== undefined && spreadMs !== undefined && spreadMs <= configLimitMs
}

async function run (cluster: Cluster): Promise<boolean> {
  const load = new LoadGenerator(cluster, 'demo', options.seed)
  const flood = { ...flooding, fromMs: schedule.floodMs, untilMs: schedule.floodEndMs }
  for (const stream of createMixedTraffic(cluster, { flood })) load.add(stream)
  trafficStartMs = performance.now()
  say('traffic starts: refreshes, orders and uploads of all customers in all regions')
  load.start()
  const measures = await playEvents(cluster)
  await load.stop()
  const lowered = createCapPeriods([{ ...cluster.contracts.find(({ customer }) => customer === changed.customer)!, ...changed }], measures.loweredAtMs + configLimitMs)
  const promises = await checkPromises(cluster, load.records, {
    caps: [...createCapPeriods(cluster.contracts), ...lowered],
    killed: new Map([[killed, measures.killedAtMs]])
  })
  printTable(load)
  const ok = isKept(promises, measures, summarizeLatency(load.records).count)
  console.log(`promises: ${Object.entries(promises).map(([name, count]) => `${name}=${count}`).join(' ')}\n`)
  const refused = load.records.filter(({ result }) => result === 'notRun' || result === 'unknown').length
  console.log(`demo result=${ok ? 'ok' : 'failed'} requests=${load.records.length} refused=${refused} cut=${promises.cutRequests} ` +
    `duplicate_runs=${promises.duplicateRuns} false_not_run=${promises.falseNotRun} cap_excess=${promises.capExcess} ` +
    `config_spread_ms=${measures.spreadMs ?? -1} drain_ms=${measures.drainMs ?? -1}`)
  return ok
}

say('starting Caroni: 7 hosts, 44 endpoints, platform and proxy')
const cluster = await Cluster.start({ example: 'caroni', network: options.network, seed: options.seed, keepFolder: options.keep === true, logLevel: options.log })
try {
  process.exitCode = await run(cluster) ? 0 : 1
} finally {
  await cluster.close()
}
