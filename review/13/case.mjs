/**
 * A faulty endpoint runs orders and answers some of them 503, without `X-Not-Executed`. The host passes these answers on. To a caller 503
 * promises that the order has not run, so the caller sends it again, and it runs twice.
 */
import { createServer } from 'node:http'
import { createConfig, Host, runCase, send, sleep } from './harness.mjs'

const zones = { 'north-a': 'north-tt', 'south-a': 'south-tt' }
const endpointCount = 7
/** Work of an endpoint on an order, and time between two orders; both in ms. */
const serviceMs = 100
const pauseMs = 40
/** Time in ms of the trouble, and share of the faulty endpoint's requests that fail. */
const troubleMs = 6_500
const failedShare = 0.45
const deadlineMs = 6_000
const refusedStatus = 503

/** An endpoint; a faulty one fails a share of its requests after it has run them. Its health checks pass. */
class Endpoint {
  runs = []
  failed = 0
  isInTrouble = false
  #requests = 0
  #bornAtMs = Date.now()
  #server = createServer((req, res) => this.#serve(req, res))

  constructor (id) {
    this.id = id
  }

  async listen () {
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve))
  }

  describe () {
    const address = `127.0.0.1:${this.#server.address().port}`
    return { born: this.#bornAtMs, address, info: { service: 'ledger', version: 'v1', zone: 'north-a', slots: 5 }, status: { state: 'ready', sequence: 1, cold_remaining_s: 0 } }
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #serve (req, res) {
    if (req.url === '/health') return res.writeHead(200, { 'X-Instance-Id': this.id }).end()
    const id = req.headers['x-request-id']
    let body = ''
    req.on('data', (chunk) => { body += chunk })
    req.on('end', () => {
      if (req.headers['x-expect-instance'] !== this.id) return res.writeHead(421, { 'X-Request-Id': id, 'Content-Length': 0 }).end()
      this.runs.push({ id, order: body })
      setTimeout(() => this.#answer(res, id), serviceMs)
    })
  }

  #answer (res, id) {
    if (this.isInTrouble) this.#requests += 1
    const isFailure = this.isInTrouble && this.failed + 1 <= this.#requests * failedShare
    if (isFailure) this.failed += 1
    const body = isFailure ? 'the confirmation could not be written' : 'confirmed'
    res.writeHead(isFailure ? refusedStatus : 200, { 'X-Request-Id': id, 'X-Server-Signature': `sig-${this.id}-${id}`, 'Content-Length': body.length }).end(body)
  }
}

/** Sends an order, and once more after a promise that it has not run, as callers do. */
async function placeOrder (host, order) {
  const attempts = []
  for (let attempt = 1; attempt <= 2; attempt += 1) {
    const answer = await send(host, { id: `${order}-${attempt}`, method: 'POST', path: '/order/1', body: order, deadlineMs })
    attempts.push(answer)
    if (answer.status !== refusedStatus) break
    await sleep(Math.min(2, Number(answer.headers['retry-after'] ?? 0)) * 1_000)
  }
  return { order, attempts }
}

await runCase(import.meta.url, async ({ record, store, storeAddress, folder, hasTrouble, onEnd }) => {
  const endpoints = Array.from({ length: endpointCount }, (_value, index) => new Endpoint(`i-ledger-${index + 1}`))
  for (const endpoint of endpoints) {
    await endpoint.listen()
    onEnd(() => endpoint.close())
    store.tables.put('servers', endpoint.id, endpoint.describe())
  }
  store.tables.put('op', 'config', createConfig())
  const host = await Host.start({ name: 'front-north-a-1', zone: 'north-a', zones, address: '127.0.0.1', store: storeAddress, folder })
  onEnd(async () => await host.stop())
  if (!await host.waitUntilReady()) throw new Error(`the host isn't ready: ${host.output}`)
  await sleep(1_000)
  const [faulty] = endpoints
  const startMs = performance.now()
  const orders = []
  while (performance.now() - startMs < troubleMs + 2_000) {
    faulty.isInTrouble = hasTrouble && performance.now() - startMs < troubleMs
    orders.push(placeOrder(host, `order-${orders.length}`))
    await sleep(pauseMs)
  }
  const placed = await Promise.all(orders)

  const runsOf = (id) => endpoints.flatMap((endpoint) => endpoint.runs.filter((run) => run.id === id).map(() => endpoint.id))
  const falseRefusals = []
  const repeated = []
  for (const { order, attempts } of placed) {
    const texts = attempts.map(({ id, status, reason, headers }) => `${id}: ${status === 0 ? reason : status}, signature ${headers['x-server-signature'] ?? 'none'}, run by ${runsOf(id).join(', ') || 'none'}`)
    record.write(`${order}: ${texts.join('; ')}`)
    falseRefusals.push(...attempts.filter(({ id, status }) => status === refusedStatus && runsOf(id).length > 0))
    if (endpoints.flatMap(({ runs }) => runs.filter((run) => run.order === order)).length > 1) repeated.push(order)
  }
  record.write(`${faulty.id}: ${faulty.runs.length} runs, ${faulty.failed} of them answered ${refusedStatus}`)
  if (!placed.some(({ attempts }) => attempts.at(-1).status === 200)) throw new Error('no order was confirmed')
  return falseRefusals.length === 0 ? [] : [`REFUSED: ${falseRefusals.length} orders were answered ${refusedStatus} and had run; ${repeated.length} orders ran twice, as their callers sent them again`]
})
