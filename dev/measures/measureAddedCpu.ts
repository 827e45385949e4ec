import { Agent } from 'node:http'
import { Cluster } from '../Cluster.js'
import type { ClusterOptions } from '../cluster/ClusterOptions.js'
import { sendRequest } from '../common/sendRequest.js'
import type { Measure } from './Measure.js'
import type { MeasureOptions } from './MeasureOptions.js'
import { readCpuMs } from './readCpuMs.js'
import { report } from './report.js'

const callers = 32
const warmUpMs = 2_000
const slots = 64
const answerBytes = 200
const wideLimits = { rate: 100_000, burst: 100_000, concurrency: 4_000, regionShare: 1, moveStep: 1 }

/** Processor time per request of the project's entry process over that of the bare forwarder, each measured alone. */
export async function measureAddedCpu (options: MeasureOptions): Promise<Measure[]> {
  const project = await measureCpuPerRequest(options, 'project')
  const bare = await measureCpuPerRequest(options, 'passthrough')
  return [
    { name: 'cpu_per_request_project', value: Math.round(project * 1_000), unit: 'us' },
    { name: 'cpu_per_request_passthrough', value: Math.round(bare * 1_000), unit: 'us' },
    { name: 'added_cpu_ratio', value: Math.round(project / bare * 100) / 100, unit: 'ratio' }
  ]
}

/** Returns ms of processor time per answered request. */
async function measureCpuPerRequest (options: MeasureOptions, policy: 'project' | 'passthrough'): Promise<number> {
  const cluster = await Cluster.start({ ...createOneHostOptions(options), policy })
  try {
    if (policy === 'project') await new Promise((resolve) => setTimeout(resolve, 14_000))
    await sendInLoop(cluster, warmUpMs)
    const pid = cluster.pidOf(cluster.hostNames[0]!, 'entry')!
    const beforeMs = readCpuMs(pid)
    const answered = await sendInLoop(cluster, options.seconds * 500)
    const usedMs = readCpuMs(pid) - beforeMs
    report(`${policy}: ${answered} requests, ${usedMs} ms of processor time`)
    return usedMs / answered
  } finally {
    await cluster.close()
  }
}

/** One host with the endpoints of its own zone, no delays and direct connections. */
function createOneHostOptions (options: MeasureOptions): ClusterOptions {
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
    changeContracts: (contracts) => contracts.map((contract) => ({ ...contract, ...wideLimits })),
    changeSettings: (settings) => ({ ...settings, dial: {} })
  }
}

/** Sends requests one after the other on each of the callers' connections; returns how many were answered. */
async function sendInLoop (cluster: Cluster, durationMs: number): Promise<number> {
  const { address, ports } = cluster.deployment.hosts[0]!
  const { path, name } = cluster.deployment.services[0]!
  const { customer } = cluster.contracts.find(({ services }) => services.includes(name))!
  const url = `http://${address}:${ports.caller}/${path}/items/1?bytes=${answerBytes}`
  const endMs = performance.now() + durationMs
  const counts = await Promise.all(Array.from({ length: callers }, async () => {
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
