import { request as httpRequest } from 'node:http'
import type { IncomingMessage } from 'node:http'
import { connect } from 'node:net'
import { PassThrough } from 'node:stream'
import type { Duplex } from 'node:stream'
import * as fc from 'fast-check'
import { SystemClock } from '../../src/common/SystemClock.js'
import { DrainableHttpServer } from '../../src/entry/DrainableHttpServer.js'
import type { PipelinedResponse } from '../../src/entry/PipelinedResponse.js'
import { readRequestBody } from '../../src/entry/readRequestBody.js'
import { RequestScope } from '../../src/entry/RequestScope.js'
import { FuzzEdge } from './FuzzEdge.js'
import { mutateText } from './mutateText.js'
import { splitText } from './splitText.js'
import { writeParts } from './writeParts.js'

/** What a caller writes on one connection, and the places at which it is split into writes. */
interface RequestInput {
  readonly text: string
  readonly places: readonly number[]
}

const address = '127.24.0.1'
const port = 8_090
/** Time in ms for which the caller waits for further responses before it leaves. */
const quietMs = 15
/** Time in ms without progress after which the caller leaves although it has more to write. */
const writeLimitMs = 150
/** Time in ms within which nothing may be left of a connection that has ended. */
const releaseMs = 2_000
const maxBodyBytes = 1_000

const targets = fc.constantFrom('/read/1', '/read/a%20b?c=d', '/order/a\tb', '/a\fb', '/\u00ff', '*', 'http://x/y')
const heads = fc.constantFrom('X-A: 1', 'X Odd: 1', ': 1', 'X-B: \u00e9', 'Connection: close', 'Expect: 100-continue', 'Upgrade: x', 'X-C: \t')
const framings = fc.constantFrom('\r\n', 'Content-Length: 4\r\n\r\nbody', 'Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n', 'Content-Length: 2000\r\n\r\n')
const request = fc.tuple(fc.constantFrom('GET', 'POST', 'HEAD'), targets, fc.array(heads, { maxLength: 3 }), framings)
  .map(([method, target, list, framing]) => `${method} ${target} HTTP/1.1\r\nHost: x\r\n${list.map((header) => `${header}\r\n`).join('')}${framing}`)

/** Requests of callers: what the server hands on can be sent to an endpoint, responses come in order, and no request is left over. */
export class RequestFuzzEdge extends FuzzEdge<RequestInput> {
  override readonly name = 'requests'
  override readonly inputs = fc.record({
    text: mutateText(fc.array(request, { minLength: 1, maxLength: 5 }).map((list) => list.join(''))),
    places: fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { maxLength: 3 })
  })

  private server!: DrainableHttpServer
  /** Number of requests of the current connection that were handed on. */
  private handled = 0
  private failure: Error | undefined

  override async open (): Promise<void> {
    this.server = new DrainableHttpServer({
      clock: new SystemClock(),
      closesConnections: () => false,
      limits: { maxConnections: 100, maxHeaderBytes: 4_096, headersTimeoutMs: 60_000, idleTimeoutMs: 60_000 },
      onRequest: (req, res) => this.handle(req, res),
      createRequestId: () => '',
      onRefused: () => {},
      onException: (error) => { this.failure = error as Error }
    })
    await this.server.listen(address, port)
  }

  override async check ({ text, places }: RequestInput): Promise<void> {
    this.handled = 0
    this.failure = undefined
    const received = await this.exchange(splitText(text, places))
    if (this.failure !== undefined) throw this.failure
    const numbers = [...received.matchAll(/^number: (\d+)\r$/gim)].map((match) => Number(match[1]))
    if (numbers.some((number, index) => number !== index)) throw new Error(`responses came in the order ${numbers.join()}`)
    for (let waitedMs = 0; this.server.inFlight > 0; waitedMs += 5) {
      if (waitedMs > releaseMs) throw new Error(`${this.server.inFlight} requests are left of a connection that has ended`)
      await sleep(5)
    }
  }

  override async close (): Promise<void> {
    this.server.closeAll()
  }

  private handle (req: IncomingMessage, res: PipelinedResponse): void {
    checkSendable(req)
    const number = this.handled++
    this.answer(req, res, number).catch((error: unknown) => { this.failure = error as Error })
  }

  private async answer (req: IncomingMessage, res: PipelinedResponse, number: number): Promise<void> {
    const clock = new SystemClock()
    const scope = new RequestScope(clock, clock.nowMs() + quietMs)
    res.once('close', () => scope.cancel('caller'))
    const isChunked = req.headers['transfer-encoding'] !== undefined
    const body = await readRequestBody(req, {
      length: isChunked ? undefined : Number(req.headers['content-length'] ?? 0), maxBytes: maxBodyBytes, scope, sendContinue: () => {}
    })
    if (body.isErr()) res.shouldKeepAlive = false
    res.writeHead(body.isOk() ? 200 : 400, ['Number', String(number), 'Content-Length', '0'])
    res.end()
  }

  private async exchange (parts: readonly string[]): Promise<string> {
    return await new Promise((resolve) => {
      const socket = connect(port, address)
      let received = ''
      let timer = setTimeout(() => socket.destroy(), writeLimitMs)
      socket.on('error', () => {})
      socket.on('data', (chunk: Buffer) => {
        received += chunk.toString('latin1')
        timer.refresh()
      })
      socket.on('close', () => {
        clearTimeout(timer)
        resolve(received)
      })
      writeParts(socket, parts, () => {
        clearTimeout(timer)
        timer = setTimeout(() => socket.destroy(), quietMs)
      })
    })
  }
}

/** Creates the outgoing request as an attempt does; Node.js throws when target or headers can't be sent. */
function checkSendable ({ method, url, rawHeaders }: IncomingMessage): void {
  const headers: string[] = []
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase().startsWith('x')) headers.push(rawHeaders[index]!, rawHeaders[index + 1]!)
  }
  const outgoing = httpRequest({ method, path: url, headers, createConnection: () => new PassThrough() as Duplex })
  outgoing.on('error', () => {})
  outgoing.destroy()
}

async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}
