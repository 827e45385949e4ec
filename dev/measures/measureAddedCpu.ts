import { Agent } from 'node:http'
import { Cluster } from '../Cluster.js'
import type { ClusterOptions } from '../cluster/ClusterOptions.js'
import { sendRequest } from '../common/sendRequest.js'
import type { Measurement } from './Measurement.js'
import type { MeasurementOptions } from './MeasurementOptions.js'
import { readCpuMs } from './readCpuMs.js'
import { logProgress } from './logProgress.js'

const connectionCount = 32
const warmUpMs = 2_000
const slots = 64
const responseBytes = 200
const nonBindingLimits = { rate: 100_000, burst: 100_000, concurrency: 4_000, regionShare: 1, moveStep: 1 }

/** Measures the processor time per request of the project's entry process and of the passthrough baseline, one after the other, and their ratio. */
export async function measureAddedCpu (options: MeasurementOptions): Promise<Measurement[]> {
  const project = await measureCpuPerRequest(options, 'project')
  const passthrough = await measureCpuPerRequest(options, 'passthrough')
  return [
    { name: 'cpu_per_request_project', value: Math.round(project * 1_000), unit: 'us' },
    { name: 'cpu_per_request_passthrough', value: Math.round(passthrough * 1_000), unit: 'us' },
    { name: 'added_cpu_ratio', value: Math.round(project / passthrough * 100) / 100, unit: 'ratio' }
  ]
}

/** Returns the processor time in ms per answered request. */
async function measureCpuPerRequest (options: MeasurementOptions, policy: 'project' | 'passthrough'): Promise<number> {
  const cluster = await Cluster.start({ ...createOneHostOptions(options), policy })
  try {
    if (policy === 'project') await new Promise((resolve) => setTimeout(resolve, 14_000))
    await sendInLoop(cluster, warmUpMs)
    const pid = cluster.pidOf(cluster.hostNames[0]!, 'entry')!
    const beforeMs = readCpuMs(pid)
    const answered = await sendInLoop(cluster, options.seconds * 500)
    const usedMs = readCpuMs(pid) - beforeMs
    logProgress(`${policy}: ${answered} requests, ${usedMs} ms of processor time`)
    return usedMs / answered
  } finally {
    await cluster.close()
  }
}

/** Limits the deployment to one host and the endpoints of its zone, without network delays and with direct connections. */
function createOneHostOptions (options: MeasurementOptions): ClusterOptions {
  return {
    example: options.deployment,
    network: options.network,
    delays: false,
    meanServiceMs: { interactive: 1, order: 1, bulk: 1 },
    changeDeployment: (deployment) => {
      const host = deployment.hosts[0]!
      const endpoints = deployment.endpoints.filter(({ zone }) => zone === host.zone).map((endpoint) => ({ ...endpoint, slots }))
      return { ...deployment, hosts: [host], endpoints }
    },
    changeContracts: (contracts) => contracts.map((contract) => ({ ...contract, ...nonBindingLimits })),
    changeSettings: (settings) => ({ ...settings, dial: {} })
  }
}

/** Sends requests one after the other on each of several connections and returns how many were answered with status 200. */
async function sendInLoop (cluster: Cluster, durationMs: number): Promise<number> {
  const { address, ports } = cluster.deployment.hosts[0]!
  const { path, name } = cluster.deployment.services[0]!
  const { customer } = cluster.contracts.find(({ services }) => services.includes(name))!
  const url = `http://${address}:${ports.caller}/${path}/items/1?bytes=${responseBytes}`
  const endMs = performance.now() + durationMs
  const counts = await Promise.all(Array.from({ length: connectionCount }, async () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    let answered = 0
    while (performance.now() < endMs) {
      const { status } = await sendRequest(url, { agent, headers: { authorization: `Bearer demo-${customer}` }, timeoutMs: 5_000 })
      if (status === 200) answered += 1
    }
    agent.destroy()
    return answered
  }))
  return counts.reduce((sum, count) => sum + count, 0)
}
