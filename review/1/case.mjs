import { request, Agent } from 'node:http'
import { Deployment, sleep } from '../common/Deployment.mjs'
import { EndlessEndpoint } from '../common/EndlessEndpoint.mjs'
import { listQuotesEndpoints, quotesConfig } from '../common/pipelinedTraffic.mjs'
import { runCase } from '../common/runCase.mjs'

const serviceMs = 300
const deadlineMs = 6_000
/** The rule allows three requests of sound endpoints whose connection a machine closes without an answer. */
const allowedLost = 3
/** Ends of a process by itself from which they count, on a tenth of the machines, as a fault of the day. */
const maxExits = 3
const clientsPerHost = 12
const troubleMs = 25_000
/** 1 of 13 endpoints is in trouble. */
const faultyId = 'i-faulty'

await runCase(new URL('.', import.meta.url), async ({ record, hasTrouble }) => {
  const routes = { read: { ...quotesConfig.routes.read, timeout_s: deadlineMs / 1_000 } }
  const deployment = await Deployment.start({ endpoints: listQuotesEndpoints(2, serviceMs), config: { ...quotesConfig, routes }, restarts: true })
  try {
    return await play(deployment, record, hasTrouble)
  } finally {
    await deployment.stop()
  }
})

async function play (deployment, record, hasTrouble) {
  const faulty = new EndlessEndpoint({ id: faultyId, service: 'quotes', zone: 'north-a', slots: 12, serviceMs })
  await faulty.listen(deployment.endpointAddress)
  deployment.endpoints.push(faulty)
  deployment.store.put('servers', faulty.id, faulty.describe())
  const requests = []
  let isOver = false
  record.add('traffic starts')
  const running = deployment.hosts.flatMap((host) => Array.from({ length: clientsPerHost }, async (_value, index) => {
    await sendRequests(`${host.name}-${index}`, host, requests, () => isOver)
  }))
  await sleep(3_000)
  if (hasTrouble) {
    faulty.isInTrouble = true
    record.add(`${faultyId} begins to answer with bodies that have no end`)
  }
  await sleep(troubleMs)
  isOver = true
  await Promise.all(running)
  record.add(`${faulty.endlessCount} bodies without end were sent`)
  for (const host of deployment.hosts) {
    const reasons = deployment.readLog(host).match(/FATAL ERROR.*/g) ?? []
    for (const [index, { code, signal, atMs }] of host.exits.entries()) record.add(`${host.name} ended by itself with ${code ?? signal}: ${reasons[index] ?? ''}`, atMs)
  }
  return listBroken(deployment, requests, record)
}

/** A client that sends one idempotent request after the other on a connection that it keeps. */
async function sendRequests (name, host, requests, isOver) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  for (let index = 0; !isOver(); index++) {
    const sent = await send(agent, `${name}-${index}`, host)
    requests.push(sent)
    if (sent.status !== 200) await sleep(200)
  }
  agent.destroy()
}

async function send (agent, id, host) {
  const [address, port] = host.front.split(':')
  const sent = { id, host: host.name, sentMs: performance.now(), endedMs: 0, isKept: false, status: undefined, end: '' }
  await new Promise((resolve) => {
    const finish = (status, end) => {
      Object.assign(sent, { status, end, endedMs: performance.now(), isKept: req.reusedSocket })
      resolve()
    }
    const headers = { Host: 'shop.example', 'X-Request-Id': id, 'X-Deadline-Ms': String(deadlineMs) }
    const req = request({ host: address, port: Number(port), path: `/read/${id}`, headers, agent }, (res) => {
      res.resume()
      res.on('error', () => finish(undefined, 'the connection ended within the response'))
      res.on('end', () => finish(res.statusCode, `response ${res.statusCode}`))
    })
    req.on('error', (error) => finish(undefined, `the connection ended without a response (${error.code})`))
    req.end()
  })
  return sent
}

/** Lists the requests from kept connections that a sound endpoint ran and that ended with their connection. */
function listBroken (deployment, requests, record) {
  const runs = new Map(deployment.listRuns().map((run) => [run.id, run]))
  const lost = []
  for (const { id, host, sentMs, endedMs, isKept, status, end } of requests) {
    const run = runs.get(id)
    record.add(`${id} sent to ${host}${isKept ? ' on a kept connection' : ''}; run by ${run?.endpoint ?? 'nobody'}; ${end} after ${Math.round(endedMs - sentMs)} ms`, sentMs)
    if (status !== undefined || !isKept || run === undefined || run.endpoint === faultyId || endedMs - sentMs >= deadlineMs) continue
    lost.push(`LOST: ${id} was passed on to the sound endpoint ${run.endpoint}, and ${host} ended the connection without an answer ${Math.round(endedMs - sentMs)} ms after it was sent`)
  }
  record.add(`${lost.length} requests that only sound endpoints ran were lost with their connection; the rule allows ${allowedLost}`)
  return [...lost.length > allowedLost ? lost : [], ...listCrashes(deployment)]
}

/** Returns a line when the processes of a tenth of the machines, two at least, ended by themselves three times. */
function listCrashes ({ hosts }) {
  const crashed = hosts.filter(({ exits }) => exits.length >= maxExits)
  if (crashed.length < Math.max(2, hosts.length / 10)) return []
  return [`Fault: ${crashed.map(({ name, exits }) => `${name} ended by itself ${exits.length} times`).join(', ')}`]
}
