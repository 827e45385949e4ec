import { randomBytes } from 'node:crypto'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Deployment, runCase, verdicts } from './Deployment.mjs'
import { PipeliningClient } from './PipeliningClient.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const clients = 20
/** Share of the clients that leave, time after which they do, and share of these that send further requests before the first answer. */
const leavingShare = 0.3
const leaveAfterMs = 300
const pipeliningShare = 0.5
/** Time for which clients leave; after it they stay. */
const leavingMs = 5_000
const playMs = 9_000
/** Work of a lookup, which most endpoints drop when its connection closes, and of a short request with an answer of 20 KB. */
const lookupMs = 1_100
const shortMs = 40
const answerBytes = 20_000
const furtherAfterMs = 150
/** The bound of the rule: time after a client has left, and share of the requests at which endpoints may still be at work then. */
const leftMs = 500
const allowedShare = 0.25
const host = 'power.example'

await runCase(async () => {
  const route = { host, kind: 'idempotent', timeout_s: 1.5, target_latency_s: 0.5, priority: 2, max_attempts: 2, session_affinity: false, allowed_regions: [] }
  const deployment = new Deployment({
    folder: dirname(fileURLToPath(import.meta.url)),
    zones: { 'akl-a': 'akl', 'akl-b': 'akl' },
    routes: { 'r-quote': { ...route, prefix: '/quote/', service: 'hire-desk' }, 'r-short': { ...route, prefix: '/list/', service: 'dispatch-yard' } },
    services: ['hire-desk', 'dispatch-yard']
  })
  const body = randomBytes(answerBytes)
  const respond = (_req, res, _run, headers) => { if (!res.destroyed) res.writeHead(200, { ...headers, 'Content-Length': answerBytes }).end(body) }
  for (let index = 0; index < 8; index++) {
    const zone = index % 2 === 0 ? 'akl-a' : 'akl-b'
    await deployment.addEndpoint({ service: 'hire-desk', slots: 12, zone, respond, fields: { workMs: lookupMs } })
    await deployment.addEndpoint({ service: 'dispatch-yard', slots: 12, zone, respond, fields: { workMs: shortMs } })
  }
  await deployment.start({ hosts: ['akl-a', 'akl-b'] })
  const since = (ms) => Math.round(ms - deployment.startMs)
  const startMs = performance.now()
  const seen = []
  const leftAt = new Map()
  await Promise.all(Array.from({ length: clients }, async (_value, number) => {
    const isOneThatLeaves = hasTrouble && number < clients * leavingShare
    const pipelines = !isOneThatLeaves || number < clients * leavingShare * pipeliningShare
    while (performance.now() - startMs < playMs) {
      const leaves = isOneThatLeaves && performance.now() - startMs < leavingMs
      const client = new PipeliningClient(deployment.hosts[Math.floor(Math.random() * deployment.hosts.length)].front)
      const ids = []
      const ask = (path) => {
        const id = `c${seen.length}`
        ids.push(id)
        const answered = client.send({ path, host, id, deadlineMs: 3_000 })
        seen.push(answered.then((result) => ({ ...result, body: undefined })))
        return answered
      }
      const answers = [ask('/quote/1')]
      if (pipelines) answers.push(ask('/list/1'))
      await new Promise((resolve) => setTimeout(resolve, furtherAfterMs))
      if (pipelines) answers.push(ask('/quote/2'))
      if (leaves) {
        await new Promise((resolve) => setTimeout(resolve, leaveAfterMs - furtherAfterMs))
        for (const id of ids) leftAt.set(id, performance.now())
        client.close()
        await new Promise((resolve) => setTimeout(resolve, 1_500))
      }
      await Promise.all(answers)
      client.close()
    }
  }))
  const results = await Promise.all(seen)
  await new Promise((resolve) => setTimeout(resolve, lookupMs))
  const runs = new Map(deployment.endpoints.flatMap((endpoint) => endpoint.runs.map((run) => [run.id, run])))
  let counted = 0
  let workedOn = 0
  for (const { id, path, outcome, sentAtMs } of results) {
    const run = runs.get(id)
    const leftMsAt = leftAt.get(id)
    const work = path.startsWith('/quote/') ? lookupMs : shortMs
    const workEndMs = run === undefined ? 0 : Math.min(run.startMs + work, run.cancelledMs ?? Infinity)
    const text = run === undefined ? 'not run' : `at work ${since(run.startMs)} to ${since(workEndMs)} at ${run.endpoint}`
    deployment.note(`${id} ${path} sent ${since(sentAtMs)}, ${text}, ${leftMsAt === undefined ? outcome : `client left at ${since(leftMsAt)}`}`)
    if (leftMsAt === undefined || run === undefined || run.startMs + work <= leftMsAt + leftMs) continue
    counted += 1
    if (workEndMs > leftMsAt + leftMs) workedOn += 1
  }
  const isBroken = workedOn > counted * allowedShare
  deployment.note(`requests ${results.length}; of clients that left and that would have lasted ${leftMs} ms longer: ${counted}; at which endpoints were still at work then: ${workedOn}; ${isBroken ? 'GONE is broken' : 'GONE held'}`)
  await deployment.end()
  return isBroken ? verdicts.broken : verdicts.held
})
