import { CallKind } from '../callers/CallKind.js'
import { LoadGenerator } from '../callers/LoadGenerator.js'
import type { TrafficStream } from '../callers/TrafficStream.js'
import { Cluster } from '../Cluster.js'
import type { ExampleContract } from '../cluster/ExampleContract.js'
import type { Measurement } from './Measurement.js'
import type { MeasurementOptions } from './MeasurementOptions.js'
import { logProgress } from './logProgress.js'

/** Long service times keep the request rate low enough that slots, not the machine's processors, are the limit. */
const meanServiceMs = { interactive: 240, order: 480, bulk: 900 }
const kinds = [CallKind.read, CallKind.order, CallKind.upload]
const workClasses = ['interactive', 'order', 'bulk'] as const
const initialLoadShare = 0.3
const loadShareStep = 0.1
const warmUpMs = 14_000
const minStepMs = 4_000
const pauseMs = 1_000
/** Contract limits that no customer reaches, so that only slots can run out. */
const nonBindingLimits = { rate: 2_000, burst: 1_000, concurrency: 1_400, uploadBytesPerSecond: 1_000_000_000, regionShare: 1, moveStep: 1 }

/**
 * Measures the largest offered load, as a share of all slots, at which every request within the contracts is answered,
 * first with all hosts and then with one host killed. The load grows step by step until a request is not answered.
 */
export async function measureHeadroom (options: MeasurementOptions): Promise<Measurement[]> {
  const cluster = await Cluster.start({
    example: options.deployment,
    network: options.network,
    seed: options.seed,
    policy: options.policy,
    meanServiceMs,
    changeContracts: (contracts) => contracts.map((contract): ExampleContract => ({ ...contract, ...nonBindingLimits }))
  })
  try {
    if (options.policy === 'project') await new Promise((resolve) => setTimeout(resolve, warmUpMs))
    const withAllHosts = await findHeadroom(cluster, options, 'all')
    await cluster.killHost(cluster.hostNames[cluster.hostNames.length - 1]!)
    await new Promise((resolve) => setTimeout(resolve, warmUpMs / 2))
    const withoutOneHost = await findHeadroom(cluster, options, 'lost')
    return [
      { name: 'headroom', value: withAllHosts, unit: 'share' },
      { name: 'headroom_one_host_lost', value: withoutOneHost, unit: 'share' }
    ]
  } finally {
    await cluster.close()
  }
}

async function findHeadroom (cluster: Cluster, options: MeasurementOptions, name: string): Promise<number> {
  let reached = 0
  for (let step = 0; initialLoadShare + step * loadShareStep <= 1; step += 1) {
    const share = Math.round((initialLoadShare + step * loadShareStep) * 100) / 100
    const load = new LoadGenerator(cluster, `h-${name}-${step}`, options.seed * 100 + step)
    for (const stream of createSlotTraffic(cluster, share)) load.add(stream)
    await load.run(Math.max(minStepMs, options.seconds * 250))
    const refused = load.records.filter(({ result }) => result !== 'ok')
    const codes = [...new Set(refused.map(({ result, code }) => `${result}/${code}`))].join(' ')
    logProgress(`load ${share}: ${load.records.length} requests, ${refused.length} not answered ${codes}`)
    if (refused.length > 0) return reached
    reached = share
    await new Promise((resolve) => setTimeout(resolve, pauseMs))
  }
  return reached
}

/** Creates traffic that occupies `share` of the slots of every service, spread evenly over regions and customers. */
function createSlotTraffic (cluster: Cluster, share: number): TrafficStream[] {
  const { services, endpoints } = cluster.deployment
  return services.flatMap(({ name, path }, index) => {
    const slots = endpoints.filter(({ service }) => service === name).reduce((sum, endpoint) => sum + endpoint.slots, 0)
    const customers = cluster.contracts.filter((contract) => contract.services.includes(name))
    const ratePerSecond = share * slots * 1_000 / meanServiceMs[workClasses[index]!]
    return customers.flatMap(({ customer }) => cluster.regionNames.map((region): TrafficStream => ({
      customer,
      region,
      kind: kinds[index]!,
      service: name,
      path,
      ratePerSecond: ratePerSecond / customers.length / cluster.regionNames.length,
      bytes: kinds[index] === CallKind.upload ? 50_000 : 500,
      maxRetries: 0
    })))
  })
}
