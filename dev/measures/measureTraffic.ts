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
import type { Measurement } from './Measurement.js'
import type { MeasurementOptions } from './MeasurementOptions.js'
import { logProgress } from './logProgress.js'

/** A measuring run and the records that the check for broken promises needs. */
interface TrafficRun {
  readonly cluster: Cluster
  readonly options: MeasurementOptions
  readonly records: CallRecord[]
  /** Wall time in ms at which each killed host was killed. */
  readonly killed: Map<string, number>
  phase: number
}

const floodFactor = 4
const shareLoadFactor = 1.5
/** Time in ms for a host to borrow capacity from its peers before the served share is counted. */
const shareWarmUpMs = 4_000
/** A restarted host grants no permits during its quarantine of 13 s. */
const quarantineWaitMs = 13_500
const stepPauseMs = 3_000
const recoveryWaitMs = 8_000

/** Measures latency, fairness, drains, configuration spread and recovery under mixed traffic, and counts broken promises. */
export async function measureTraffic (options: MeasurementOptions): Promise<Measurement[]> {
  const cluster = await Cluster.start({ example: options.deployment, network: options.network, seed: options.seed, policy: options.policy })
  try {
    const run: TrafficRun = { cluster, options, records: [], killed: new Map(), phase: 0 }
    if (options.policy === 'project') {
      logProgress('waiting for the end of the hosts\' quarantine')
      await sleep(quarantineWaitMs)
    }
    const measures = [...await measureLatencyAndFairness(run), await measureServedShare(run)]
    if (options.policy === 'project') measures.push(...await measureOperations(run))
    measures.push(await measureRecovery(run))
    return [...measures, ...await countBrokenPromises(run)]
  } finally {
    await cluster.close()
  }
}

async function measureLatencyAndFairness (run: TrafficRun): Promise<Measurement[]> {
  const { cluster, options: { seconds } } = run
  logProgress(`calm mixed traffic for ${seconds} s`)
  const calm = await runPhase(run, createMixedTraffic(cluster, { flood: { ...createFlood(cluster), factor: 0.3 } }), seconds * 1_000)
  logProgress(`the same with a flood for ${seconds} s`)
  const flooded = await runPhase(run, createMixedTraffic(cluster, { flood: createFlood(cluster) }), seconds * 1_000)
  const victims = (records: readonly CallRecord[]): CallRecord[] => records.filter(({ customer, kind }) => customer !== createFlood(cluster).customer && kind === CallKind.read)
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

/** Measures the share of the cap that is served when all callers of one customer use one host and send more than the cap allows. */
async function measureServedShare (run: TrafficRun): Promise<Measurement> {
  const { cluster } = run
  const flooding = createFlood(cluster)
  const rate = cluster.contracts.find(({ customer }) => customer === flooding.customer)!.rate
  const host = cluster.deployment.hosts[0]!
  const service = cluster.deployment.services[0]!
  const stream: TrafficStream = {
    customer: flooding.customer,
    region: cluster.regionOf(host.zone),
    kind: CallKind.read,
    service: service.name,
    path: service.path,
    ratePerSecond: rate * shareLoadFactor,
    callers: 8,
    pinnedHost: host.name,
    maxRetries: 0
  }
  logProgress(`all callers of ${flooding.customer} use ${host.name}`)
  const durationMs = shareWarmUpMs + run.options.seconds * 500
  const startMs = Date.now()
  const records = await runPhase(run, [stream], durationMs)
  const served = records.filter(({ result, intendedMs }) => result === 'ok' && intendedMs >= startMs + shareWarmUpMs).length
  return { name: 'share_served', value: round(served / (rate * (durationMs - shareWarmUpMs) / 1_000)), unit: 'ratio' }
}

/** Measures the drain of an endpoint, the drain of a host and the spread of a contract change, under mixed traffic. */
async function measureOperations (run: TrafficRun): Promise<Measurement[]> {
  const { cluster } = run
  const load = startLoad(run)
  await sleep(stepPauseMs)
  const endpoint = cluster.deployment.endpoints.findLast(({ service }) => service === cluster.deployment.services[0]!.name)!.name
  logProgress(`draining upstream ${endpoint}`)
  const upstreamMs = await measureUpstreamDrain(cluster, endpoint)
  logProgress('changing a contract')
  const { spreadMs } = await measureConfigSpread(cluster, cluster.contracts[1]!.customer)
  const host = cluster.hostNames[1]!
  logProgress(`planned stop of host ${host}`)
  const startMs = performance.now()
  const code = await cluster.stop(host, 'entry')
  const hostMs = Math.round(performance.now() - startMs)
  if (code !== 0) logProgress(`shunt-entry of ${host} ended with code ${code ?? 'none'}`)
  await sleep(stepPauseMs)
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

/** Returns the time in ms until the endpoint is empty, or -1 if the drain was refused or requests are still in flight after the pause. */
async function measureUpstreamDrain (cluster: Cluster, endpoint: string): Promise<number> {
  const response = await cluster.operator().drain('upstream', endpoint)
  const drainedAtMs = Date.now()
  await cluster.standIns.markDrain({ endpoint }, drainedAtMs)
  if (response.status >= 300) logProgress(`the drain was refused: ${JSON.stringify(response.body)}`)
  await sleep(stepPauseMs)
  const truth = (await cluster.standIns.readTruth()).endpoints[endpoint]!
  return response.status >= 300 || truth.inFlight > 0 ? -1 : Math.max(0, truth.emptyMs - drainedAtMs)
}

/** Measures the time from the kill of a host to the end of the last request that failed or was sent again after the kill. */
async function measureRecovery (run: TrafficRun): Promise<Measurement> {
  const { cluster } = run
  const load = startLoad(run)
  await sleep(stepPauseMs)
  const host = cluster.hostNames[2]!
  logProgress(`killing host ${host}`)
  const killedAtMs = Date.now()
  run.killed.set(host, killedAtMs)
  await cluster.killHost(host)
  await sleep(recoveryWaitMs)
  await load.stop()
  const failed = load.records.filter(({ result, breaks, intendedMs, latencyMs }) => (result !== 'ok' || breaks.length > 0) && intendedMs + latencyMs >= killedAtMs)
  const lastMs = Math.max(killedAtMs, ...failed.map(({ intendedMs, latencyMs }) => intendedMs + latencyMs))
  logProgress(`${failed.length} requests failed or were sent again after the kill`)
  return { name: 'recovery_time', value: Math.round(lastMs - killedAtMs), unit: 'ms' }
}

async function countBrokenPromises ({ cluster, records, killed }: TrafficRun): Promise<Measurement[]> {
  const broken = await checkPromises(cluster, records, { caps: createCapPeriods(cluster.contracts), killed })
  const codes = new Map<string, number>()
  for (const { result, code } of records) codes.set(`${result}/${code}`, (codes.get(`${result}/${code}`) ?? 0) + 1)
  logProgress(`results by code: ${[...codes].map(([name, count]) => `${name}=${count}`).join(' ')}`)
  return [
    { name: 'cap_excess', value: broken.capExcess, unit: 'requests' },
    { name: 'region_overload', value: broken.regionOverload, unit: 'requests' },
    { name: 'cut_requests', value: broken.cutRequests, unit: 'requests' },
    { name: 'duplicate_runs', value: broken.duplicateRuns, unit: 'requests' },
    { name: 'false_not_run', value: broken.falseNotRun, unit: 'requests' },
    { name: 'mixed_answers', value: broken.mixedAnswers, unit: 'requests' },
    { name: 'late_new_work', value: broken.lateNewWork, unit: 'requests' }
  ]
}

/** Creates a flood by the last customer of the deployment that lasts for the whole phase. */
function createFlood (cluster: Cluster): { customer: string, factor: number, fromMs: number, untilMs: number } {
  return { customer: cluster.contracts[cluster.contracts.length - 1]!.customer, factor: floodFactor, fromMs: 0, untilMs: Infinity }
}

function createLoad (run: TrafficRun, streams: readonly TrafficStream[]): LoadGenerator {
  run.phase += 1
  const load = new LoadGenerator(run.cluster, `p${run.phase}`, run.options.seed * 100 + run.phase)
  for (const stream of streams) load.add(stream)
  return load
}

/** Starts mixed traffic whose records are added to the run when it stops. */
function startLoad (run: TrafficRun): LoadGenerator {
  const load = createLoad(run, createMixedTraffic(run.cluster))
  load.start()
  const stop = load.stop.bind(load)
  load.stop = async () => {
    await stop()
    run.records.push(...load.records)
  }
  return load
}

async function runPhase (run: TrafficRun, streams: readonly TrafficStream[], durationMs: number): Promise<readonly CallRecord[]> {
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
