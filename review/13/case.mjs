/**
 * Callers pipeline reads on kept connections. A faulty endpoint truncates a few long answers. The host ends the caller's connection,
 * and with it go the requests behind that answer, which it has already passed on to sound endpoints.
 */
import { createServer } from 'node:http'
import { connect } from 'node:net'
import { createConfig, Host, runCase, sleep } from '../lib-3/harness.mjs'

const zones = { 'north-a': 'north-tt', 'south-a': 'south-tt' }
const callerCount = 10
/** Requests that a caller sends before it waits for their answers. */
const batchSize = 5
const longAnswerBytes = 700_000
const shortAnswerBytes = 400
const deadlineMs = 3_000
/** Time in ms that an endpoint works on a request. */
const serviceMs = { long: 40, short: 120 }
/** Time in ms of the trouble, and largest share of an endpoint's answers that it truncates. */
const troubleMs = 5_000
const truncatedShare = 0.03
/** Number of requests in the rule that may end so. */
const allowedLost = 3

/** An endpoint; a faulty one truncates a share of its answers while the trouble lasts, which are long ones. */
class Endpoint {
  runs = []
  answers = 0
  truncated = 0
  isInTrouble = false
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
    return { born: this.#bornAtMs, address, info: { service: 'desk', version: 'v1', zone: 'north-a', slots: 40 }, status: { state: 'ready', sequence: 1, cold_remaining_s: 0 } }
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #serve (req, res) {
    if (req.url === '/health') return res.writeHead(200, { 'X-Instance-Id': this.id }).end()
    const id = req.headers['x-request-id']
    if (req.headers['x-expect-instance'] !== this.id) return res.writeHead(421, { 'X-Request-Id': id, 'Content-Length': 0 }).end()
    this.runs.push(id)
    const isLong = req.url.startsWith('/read/long')
    setTimeout(() => this.#answer(res, id, isLong), isLong ? serviceMs.long : serviceMs.short)
  }

  #answer (res, id, isLong) {
    this.answers += 1
    const body = Buffer.alloc(isLong ? longAnswerBytes : shortAnswerBytes, id)
    res.writeHead(200, { 'X-Request-Id': id, 'X-Server-Signature': `sig-${this.id}-${id}`, 'X-Server-Load': '1,0,40', 'Content-Length': body.length })
    const isTruncated = isLong && this.isInTrouble && this.truncated + 1 <= this.answers * truncatedShare
    if (!isTruncated) return res.end(body)
    this.truncated += 1
    res.write(body.subarray(0, longAnswerBytes - 10_000), () => setTimeout(() => res.destroy(), 20))
  }
}

/** A caller that pipelines batches of reads on one connection, and opens another one when it is closed. */
class Caller {
  /** Batches whose connection was closed: number, and ids of the requests without an answer, the first one being answered. */
  closed = []
  sent = 0
  answered = 0
  #isStopping = false

  constructor (name, host) {
    Object.assign(this, { name, host })
  }

  async run () {
    while (!this.#isStopping) await this.#useConnection()
  }

  stop () {
    this.#isStopping = true
  }

  async #useConnection () {
    const socket = connect(this.host.front, this.host.address)
    const reader = new AnswerReader(socket)
    socket.on('error', () => {})
    for (let batch = 0; !this.#isStopping && !reader.isClosed; batch += 1) {
      const ids = Array.from({ length: batchSize }, (_value, place) => `${this.name}-${this.sent + place}`)
      this.sent += batchSize
      socket.write(ids.map((id, place) => this.#format(id, place === 0 ? '/read/long' : '/read/short')).join(''))
      const answers = await reader.read(batchSize)
      this.answered += answers
      if (answers < batchSize) this.closed.push({ batch, ids: ids.slice(answers) })
    }
    socket.destroy()
  }

  #format (id, path) {
    return `GET ${path}/${id} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: ${deadlineMs}\r\n\r\n`
  }
}

/** Counts the whole answers on a connection; all of them have a length. */
class AnswerReader {
  isClosed = false
  #buffer = Buffer.alloc(0)
  #count = 0
  #wake = () => {}

  constructor (socket) {
    socket.on('data', (chunk) => this.#receive(chunk))
    socket.on('close', () => {
      this.isClosed = true
      this.#wake()
    })
  }

  /** Resolves to the number of answers, less than `count` when the connection was closed before. */
  async read (count) {
    while (this.#count < count && !this.isClosed) await new Promise((resolve) => { this.#wake = resolve })
    const answers = Math.min(count, this.#count)
    this.#count -= answers
    return answers
  }

  #receive (chunk) {
    this.#buffer = Buffer.concat([this.#buffer, chunk])
    for (;;) {
      const headEnd = this.#buffer.indexOf('\r\n\r\n')
      if (headEnd < 0) break
      const length = Number(/content-length: (\d+)/i.exec(this.#buffer.subarray(0, headEnd).toString('latin1'))[1])
      if (this.#buffer.length < headEnd + 4 + length) break
      this.#buffer = this.#buffer.subarray(headEnd + 4 + length)
      this.#count += 1
    }
    this.#wake()
  }
}

await runCase(import.meta.url, async ({ record, store, storeAddress, folder, hasTrouble, onEnd }) => {
  const endpoints = ['i-desk-1', 'i-desk-2', 'i-desk-3', 'i-desk-4'].map((id) => new Endpoint(id))
  for (const endpoint of endpoints) {
    await endpoint.listen()
    onEnd(() => endpoint.close())
    store.tables.put('servers', endpoint.id, endpoint.describe())
  }
  const [faulty, ...sound] = endpoints
  store.tables.put('op', 'config', createConfig())
  const host = await Host.start({ name: 'front-north-a-1', zone: 'north-a', zones, address: '127.0.0.1', store: storeAddress, folder })
  onEnd(async () => await host.stop())
  if (!await host.waitUntilReady()) throw new Error(`the host isn't ready: ${host.output}`)
  const callers = Array.from({ length: callerCount }, (_value, index) => new Caller(`caller-${index}`, host))
  const ends = callers.map(async (caller) => await caller.run())
  await sleep(5_000)
  faulty.isInTrouble = hasTrouble
  if (hasTrouble) record.write(`${faulty.id} begins to truncate at most ${truncatedShare * 100} in 100 of its answers`)
  await sleep(troubleMs)
  faulty.isInTrouble = false
  await sleep(2_000)
  for (const caller of callers) caller.stop()
  await Promise.all(ends)

  const soundRuns = new Set(sound.flatMap(({ runs }) => runs))
  const isRun = (id) => endpoints.some(({ runs }) => runs.includes(id))
  const lost = []
  for (const { name, closed, sent, answered } of callers) {
    record.write(`${name}: ${sent} requests, ${answered} answered`)
    for (const { batch, ids: [first, ...behind] } of closed) {
      const atSound = behind.filter((id) => soundRuns.has(id))
      lost.push(...atSound)
      record.write(`${name}: connection closed in batch ${batch} while ${first} was answered; behind it without an answer: ${behind.map((id) => `${id} (${soundRuns.has(id) ? 'passed on to a sound endpoint' : isRun(id) ? 'passed on' : 'not passed on'})`).join(', ')}`)
    }
  }
  for (const { id, runs, answers, truncated } of endpoints) record.write(`${id}: ${runs.length} runs, ${answers} answers, ${truncated} truncated`)
  if (host.exitCode !== undefined) throw new Error('the host has ended')
  return lost.length <= allowedLost ? [] : [`LOST: ${lost.length} requests from kept connections were passed on to sound endpoints, and the host closed the connections without an answer`]
})
