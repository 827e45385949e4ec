import type { CallRecord } from '../callers/CallRecord.js'
import { CallKind } from '../callers/CallKind.js'
import { createMixedTraffic } from '../callers/createMixedTraffic.js'
import { LoadGenerator } from '../callers/LoadGenerator.js'
import type { TrafficStream } from '../callers/TrafficStream.js'
import { Cluster } from '../Cluster.js'
import { checkPromises } from '../proof/checkPromises.js'
import { createCapPeriods } from '../proof/createCapPeriods.js'
import { measureConfigSpread } from '../proof/measureConfigSpread.js'
import { summarizeLatency } from '../proof/summarizeLatency.js'
import type { Measure } from './Measure.js'
import type { MeasureOptions } from './MeasureOptions.js'
import { report } from './report.js'

/** A run and what it leaves for the check of the promises. */
interface Run {
  readonly cluster: Cluster
  readonly options: MeasureOptions
  readonly records: CallRecord[]
  readonly killed: Map<string, number>
  phase: number
}

const floodFactor = 4
const shareFactor = 1.5
/** Time in ms that borrowing portions may take before the served share is counted. */
const shareWarmUpMs = 4_000
/** A restarted host keeps its permits back for 13 s. */
const quarantineMs = 13_500
const eventLeadMs = 3_000
const eventTailMs = 8_000

/** Measures latency, fairness, drains, spread and recovery under mixed traffic, and counts broken promises. */
export async function measureTraffic (options: MeasureOptions): Promise<Measure[]> {
  const cluster = await Cluster.start({ example: options.deployment, network: options.network, seed: options.seed, policy: options.policy })
  try {
    const run: Run = { cluster, options, records: [], killed: new Map(), phase: 0 }
    if (options.policy === 'project') {
      report('waiting for the end of the hosts\' quarantine')
      await sleep(quarantineMs)
    }
    const measures = [...await measureCalmAndFlood(run), await measureShare(run)]
    if (options.policy === 'project') measures.push(...await measureOperations(run))
    measures.push(await measureRecovery(run))
    return [...measures, ...await countBrokenPromises(run)]
  } finally {
    await cluster.close()
  }
}

async function measureCalmAndFlood (run: Run): Promise<Measure[]> {
  const { cluster, options: { seconds } } = run
  report(`calm mixed traffic for ${seconds} s`)
  const calm = await runPhase(run, createMixedTraffic(cluster, { flood: { ...flood(cluster), factor: 0.3 } }), seconds * 1_000)
  report(`the same with a flood for ${seconds} s`)
  const flooded = await runPhase(run, createMixedTraffic(cluster, { flood: flood(cluster) }), seconds * 1_000)
  const victims = (records: readonly CallRecord[]): CallRecord[] => records.filter(({ customer, kind }) => customer !== flood(cluster).customer && kind === CallKind.read)
  const reads = summarizeLatency(victims(calm))
  const writes = summarizeLatency(calm.filter(({ kind }) => kind === CallKind.order))
  const uploads = [...calm, ...flooded].filter(({ kind }) => kind === CallKind.upload)
  const rates = uploads.map(({ uploadedBytes, latencyMs }) => uploadedBytes * 1_000 / latencyMs)
  return [
    { name: 'read_latency_p50', value: reads.p50, unit: 'ms' },
    { name: 'read_latency_p99', value: reads.p99, unit: 'ms' },
    { name: 'write_latency_p99', value: writes.p99, unit: 'ms' },
    { name: 'upload_rate_min', value: Math.round(Math.min(...rates)), unit: 'B/s' },
    { name: 'victim_latency_ratio', value: round(summarizeLatency(victims(flooded)).p99 / reads.p99), unit: 'ratio' },
    { name: 'victims_refused', value: victims([...calm, ...flooded]).filter(({ result }) => result !== 'ok').length, unit: 'requests' }
  ]
}

/** All callers of one customer use one host and ask for more than the cap. */
async function measureShare (run: Run): Promise<Measure> {
  const { cluster } = run
  const contract = flood(cluster)
  const rate = cluster.contracts.find(({ customer }) => customer === contract.customer)!.rate
  const host = cluster.deployment.hosts[0]!
  const service = cluster.deployment.services[0]!
  const stream: TrafficStream = {
    customer: contract.customer,
    region: cluster.regionOf(host.zone),
    kind: CallKind.read,
    service: service.name,
    path: service.path,
    ratePerSecond: rate * shareFactor,
    callers: 8,
    pinnedHost: host.name,
    repeats: 0
  }
  report(`all callers of ${contract.customer} use ${host.name}`)
  const durationMs = shareWarmUpMs + run.options.seconds * 500
  const startMs = Date.now()
  const records = await runPhase(run, [stream], durationMs)
  const served = records.filter(({ result, intendedMs }) => result === 'ok' && intendedMs >= startMs + shareWarmUpMs).length
  return { name: 'share_served', value: round(served / (rate * (durationMs - shareWarmUpMs) / 1_000)), unit: 'ratio' }
}

/** Drains of an endpoint and of a host, and a contract change, under mixed traffic. */
async function measureOperations (run: Run): Promise<Measure[]> {
  const { cluster } = run
  const load = startLoad(run)
  await sleep(eventLeadMs)
  const endpoint = cluster.deployment.endpoints.findLast(({ service }) => service === cluster.deployment.services[0]!.name)!.name
  report(`draining upstream ${endpoint}`)
  const upstreamMs = await measureUpstreamDrain(cluster, endpoint)
  report('changing a contract')
  const { spreadMs } = await measureConfigSpread(cluster, cluster.contracts[1]!.customer)
  const host = cluster.hostNames[1]!
  report(`planned stop of host ${host}`)
  const startMs = performance.now()
  const code = await cluster.stop(host, 'entry')
  const hostMs = Math.round(performance.now() - startMs)
  if (code !== 0) report(`shunt-entry of ${host} ended with code ${code ?? 'none'}`)
  await sleep(eventLeadMs)
  await cluster.restart(host, 'entry')
  await load.stop()
  await cluster.operator().cancelDrain('upstream', endpoint)
  await cluster.standIns.clearDrain({ endpoint })
  return [
    { name: 'drain_time_upstream', value: upstreamMs, unit: 'ms' },
    { name: 'drain_time_host', value: code === 0 ? hostMs : -1, unit: 'ms' },
    { name: 'config_spread', value: spreadMs ?? -1, unit: 'ms' }
  ]
}

async function measureUpstreamDrain (cluster: Cluster, endpoint: string): Promise<number> {
  const answer = await cluster.operator().drain('upstream', endpoint)
  const atMs = Date.now()
  await cluster.standIns.markDrain({ endpoint }, atMs)
  if (answer.status >= 300) report(`the drain was refused: ${JSON.stringify(answer.body)}`)
  await sleep(eventLeadMs)
  const truth = (await cluster.standIns.readTruth()).endpoints[endpoint]!
  return answer.status >= 300 || truth.inFlight > 0 ? -1 : Math.max(0, truth.emptyMs - atMs)
}

/** Time from the kill of a host to the end of the last request that got no answer because of it. */
async function measureRecovery (run: Run): Promise<Measure> {
  const { cluster } = run
  const load = startLoad(run)
  await sleep(eventLeadMs)
  const host = cluster.hostNames[2]!
  report(`killing host ${host}`)
  const killedMs = Date.now()
  run.killed.set(host, killedMs)
  await cluster.killHost(host)
  await sleep(eventTailMs)
  await load.stop()
  const failed = load.records.filter(({ result, breaks, intendedMs, latencyMs }) => (result !== 'ok' || breaks.length > 0) && intendedMs + latencyMs >= killedMs)
  const lastMs = Math.max(killedMs, ...failed.map(({ intendedMs, latencyMs }) => intendedMs + latencyMs))
  report(`${failed.length} requests failed or were sent again after the kill`)
  return { name: 'recovery_time', value: Math.round(lastMs - killedMs), unit: 'ms' }
}

async function countBrokenPromises ({ cluster, records, killed }: Run): Promise<Measure[]> {
  const promises = await checkPromises(cluster, records, { caps: createCapPeriods(cluster.contracts), killed })
  const codes = new Map<string, number>()
  for (const { result, code } of records) codes.set(`${result}/${code}`, (codes.get(`${result}/${code}`) ?? 0) + 1)
  report(`results by code: ${[...codes].map(([name, count]) => `${name}=${count}`).join(' ')}`)
  return [
    { name: 'cap_excess', value: promises.capExcess, unit: 'requests' },
    { name: 'region_overload', value: promises.regionOverload, unit: 'requests' },
    { name: 'cut_requests', value: promises.cutRequests, unit: 'requests' },
    { name: 'duplicate_runs', value: promises.duplicateRuns, unit: 'requests' },
    { name: 'false_not_run', value: promises.falseNotRun, unit: 'requests' },
    { name: 'mixed_answers', value: promises.mixedAnswers, unit: 'requests' },
    { name: 'late_new_work', value: promises.lateNewWork, unit: 'requests' }
  ]
}

/** Customer that floods: the last of the deployment. */
function flood (cluster: Cluster): { customer: string, factor: number, fromMs: number, untilMs: number } {
  return { customer: cluster.contracts[cluster.contracts.length - 1]!.customer, factor: floodFactor, fromMs: 0, untilMs: Infinity }
}

function createLoad (run: Run, streams: readonly TrafficStream[]): LoadGenerator {
  run.phase += 1
  const load = new LoadGenerator(run.cluster, `p${run.phase}`, run.options.seed * 100 + run.phase)
  for (const stream of streams) load.add(stream)
  return load
}

/** Starts mixed traffic whose records join the run's when it stops. */
function startLoad (run: Run): LoadGenerator {
  const load = createLoad(run, createMixedTraffic(run.cluster))
  load.start()
  const stop = load.stop.bind(load)
  load.stop = async () => {
    await stop()
    run.records.push(...load.records)
  }
  return load
}

async function runPhase (run: Run, streams: readonly TrafficStream[], durationMs: number): Promise<readonly CallRecord[]> {
  const load = createLoad(run, streams)
  await load.run(durationMs)
  run.records.push(...load.records)
  return load.records
}

async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

function round (value: number): number {
  return Math.round(value * 1_000) / 1_000
}
