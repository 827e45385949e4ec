import { request, Agent } from 'node:http'
import { Deployment, sleep } from './Deployment.mjs'
import { runCase } from './runCase.mjs'

const applyMs = 2_500
const drainMs = 2_500
const evacuationMs = 5_000
const requestGapMs = 100
const kept = new Agent({ keepAlive: true, maxSockets: 4 })

const services = {
  old: { health_path: '/health', max_connections: 390, cold_start_s: 3, cold_per_s: 5 },
  new: { health_path: '/health', max_connections: 390, cold_start_s: 3, cold_per_s: 5 }
}

function createRoute (prefix, service, timeoutS = 4) {
  return { host: 'shop.example', prefix, kind: 'idempotent', timeout_s: timeoutS, target_latency_s: 1, priority: 1, service, max_attempts: 2 }
}

function listEndpoints () {
  const zones = ['north-a', 'south-a', 'west-a']
  const create = (service) => zones.map((zone) => ({ id: `i-${service}-${zone}`, service, zone, serviceMs: 40 }))
  return [...create('old'), ...create('new')]
}

/** Sends a request to a host and records which endpoint answered it. */
async function send (host, path, id) {
  const sentMs = performance.now()
  const [address, port] = host.front.split(':')
  return await new Promise((resolve) => {
    const finish = (status, signature) => resolve({ id, host: host.name, path, sentMs, status, signature })
    const headers = { Host: 'shop.example', 'X-Request-Id': id, 'X-Deadline-Ms': '4000' }
    const req = request({ host: address, port: Number(port), path, headers, agent: kept }, (res) => {
      res.resume()
      res.on('error', () => finish(0, ''))
      res.on('end', () => finish(res.statusCode, res.headers['x-server-signature'] ?? ''))
    })
    req.on('error', () => finish(0, ''))
    req.end()
  })
}

/** Sends requests to every host at a steady rate until `isOver` returns true. */
async function sendTraffic (hosts, isOver, answers) {
  const open = []
  for (let round = 0; !isOver(); round++) {
    for (const host of hosts) {
      for (const path of ['/moved/', '/steady/']) open.push(send(host, `${path}${round}`, `q-${host.name}-${path.slice(1, -1)}-${round}`))
    }
    await sleep(requestGapMs)
  }
  answers.push(...await Promise.all(open))
}

await runCase(new URL('.', import.meta.url), async ({ record, hasTrouble }) => {
  const first = { services, routes: { moved: createRoute('/moved/', 'old'), steady: createRoute('/steady/', 'new') } }
  const deployment = await Deployment.start({ endpoints: listEndpoints(), config: first })
  try {
    return await play(deployment, first, record, hasTrouble)
  } finally {
    await deployment.stop()
  }
})

async function play (deployment, config, record, hasTrouble) {
  const { store, hosts } = deployment
  const answers = []
  let isOver = false
  const traffic = sendTraffic(hosts, () => isOver, answers)
  record.add('traffic starts')
  await sleep(2_000)
  // An ordinary change, and an ordinary new endpoint: every host sees them, and its calls for further changes begin again.
  deployment.putConfig({ ...config, routes: { ...config.routes, steady: createRoute('/steady/', 'new', 3.5) } })
  await deployment.addEndpoint({ id: 'i-new-added', service: 'new', zone: 'north-b', serviceMs: 40 })
  record.add('the operator changes the timeout of the route "steady"; an endpoint is added; both are acknowledged')
  await sleep(600)
  if (hasTrouble) {
    const count = deployment.storeProxy.silenceOpenConnections()
    record.add(`${count} open connections between the hosts and the store go silent for good; new ones work`)
  }
  await sleep(4_600)
  // From here on all machines are in touch again: more than stable_window_s (4 s) after the disruption.
  const movedMs = deployment.putConfig({ services, routes: { moved: createRoute('/moved/', 'new'), steady: createRoute('/steady/', 'new', 3.5) } })
  record.add('acknowledged: the route "moved" moves from the service "old" to the service "new"', movedMs)
  const draining = deployment.endpoints.find(({ id }) => id === 'i-new-south-a')
  store.put('servers', draining.id, draining.describe('draining'))
  const drainedMs = performance.now()
  record.add(`acknowledged: the endpoint ${draining.id} is draining`, drainedMs)
  store.put('op', 'evacuate/west-a', {})
  const evacuatedMs = performance.now()
  record.add('acknowledged: the zone west-a is to be evacuated', evacuatedMs)
  await sleep(9_500)
  isOver = true
  await traffic
  recordLog(deployment, record)
  return listBroken({ deployment, answers, record, movedMs, drainedMs, evacuatedMs, draining })
}

/** Records when each host applied a configuration, by its own log. */
function recordLog (deployment, record) {
  for (const host of deployment.hosts) {
    for (const line of deployment.readLog(host).split('\n')) {
      const match = /^time=(\S+) .*event=(config-applied|zone-evacuated|store-lost|store-regained)( .*)$/.exec(line)
      if (match !== null) record.add(`${host.name} logs: ${match[2]}${match[3]}`, Date.parse(match[1]) - performance.timeOrigin)
    }
  }
}

function listBroken ({ deployment, answers, record, movedMs, drainedMs, evacuatedMs, draining }) {
  const runs = new Map(deployment.listRuns().map((run) => [run.id, run]))
  const broken = []
  let lateDrains = 0
  let lateEvacuations = 0
  for (const { id, host, path, sentMs, status, signature } of answers) {
    const run = runs.get(id)
    record.add(`${host}: ${id} sent; answer ${status} ${signature}; run by ${run?.endpoint ?? 'nobody'}`, sentMs)
    if (path.startsWith('/moved/') && sentMs > movedMs + applyMs && run?.service === 'old') {
      broken.push(`CONFIG: ${id} was sent to ${host} ${format(sentMs - movedMs)} s after the acknowledgement and run by the old service (${run.endpoint})`)
    }
    if (run?.endpoint === draining.id && run.startMs > drainedMs + drainMs) lateDrains += 1
    if (run !== undefined && run.endpoint.endsWith('west-a') && run.startMs > evacuatedMs + evacuationMs) lateEvacuations += 1
  }
  record.add(`of ${answers.length} requests, ${answers.filter(({ status }) => status === 200).length} were answered with 200`)
  record.add(`beside CONFIG: ${lateDrains} requests reached the draining endpoint later than drain_s, ${lateEvacuations} the evacuated zone later than evacuation_s`)
  return broken
}

function format (ms) {
  return (ms / 1_000).toFixed(2)
}
