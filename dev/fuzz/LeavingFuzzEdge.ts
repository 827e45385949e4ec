import type { IncomingMessage } from 'node:http'
import { connect } from 'node:net'
import * as fc from 'fast-check'
import { createFailure } from '../../src/common/createFailure.js'
import { SystemClock } from '../../src/common/SystemClock.js'
import { DrainableHttpServer } from '../../src/entry/DrainableHttpServer.js'
import type { PipelinedResponse } from '../../src/entry/PipelinedResponse.js'
import { readRequestBody } from '../../src/entry/readRequestBody.js'
import { RequestScope } from '../../src/entry/RequestScope.js'
import { ResponseWriter } from '../../src/entry/ResponseWriter.js'
import { writeRefusal } from '../../src/entry/writeRefusal.js'
import { FuzzEdge } from './FuzzEdge.js'
import { splitText } from './splitText.js'
import { sleep } from './sleep.js'

/** What a caller writes on one connection, the places at which it pauses, and how it leaves. */
interface LeavingInput {
  readonly requests: readonly string[]
  /** Bytes behind the last complete request. */
  readonly rest: string
  readonly places: readonly number[]
  readonly resets: boolean
}

const address = '127.24.0.1'
const port = 8_091
const deadlineMs = 30_000
const maxBodyBytes = 1_000_000
/** Time in ms between two writes, in which the server reads and answers. */
const pauseMs = 3
/** Time in ms within which no request of a caller that has left may be under way, as the platform's rules say. */
const leftMs = 500
const pollMs = 5

/** Requests that are never answered, answered with a number of bytes, or refused without reading the body. */
const paths = fc.constantFrom('/never', '/0', '/200', '/9000', '/30000', '/refused')
const bodyBytes = fc.constantFrom(0, 0, 0, 100, 20_000, 60_000)
const request = fc.tuple(paths, bodyBytes).map(([path, length]) => `POST ${path} HTTP/1.1\r\nHost: x\r\nContent-Length: ${length}\r\n\r\n${'b'.repeat(length)}`)
const rests = fc.constantFrom('', 'GET /200 HT', `POST /200 HTTP/1.1\r\nHost: x\r\nContent-Length: 50000\r\n\r\n${'b'.repeat(30_000)}`, '\0 no request\r\n\r\n')

/** Callers that leave while their requests are under way: in whatever state the connection is, their requests end at once. */
export class LeavingFuzzEdge extends FuzzEdge<LeavingInput> {
  override readonly name = 'departures'
  override readonly inputs = fc.record({
    requests: fc.array(request, { minLength: 1, maxLength: 24 }),
    rest: rests,
    places: fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { maxLength: 8 }),
    resets: fc.boolean()
  })

  private readonly clock = new SystemClock()
  private server!: DrainableHttpServer
  private failure: Error | undefined

  override async open (): Promise<void> {
    this.server = new DrainableHttpServer({
      clock: this.clock,
      closesConnections: () => false,
      limits: { maxConnections: 100, maxHeaderBytes: 4_096, headersTimeoutMs: 60_000, idleTimeoutMs: 60_000 },
      onRequest: (req, res) => { this.handle(req, res).catch((error: unknown) => { this.failure = error as Error }) },
      createRequestId: () => '',
      onRefused: () => {},
      onException: (error) => { this.failure = error as Error }
    })
    await this.server.listen(address, port)
  }

  override async check ({ requests, rest, places, resets }: LeavingInput): Promise<void> {
    this.failure = undefined
    const socket = connect(port, address)
    socket.on('error', () => {})
    socket.resume()
    for (const part of splitText(`${requests.join('')}${rest}`, places)) {
      if (socket.writable) await new Promise<void>((resolve) => socket.write(part, 'latin1', () => resolve()))
      await sleep(pauseMs)
    }
    if (resets) socket.resetAndDestroy()
    else socket.destroy()
    // Counts polls instead of time, since the caller's end isn't read while this process stands still.
    for (let polls = 0; this.server.inFlight > 0 && polls < leftMs / pollMs; polls++) await sleep(pollMs)
    if (this.failure !== undefined) throw this.failure
    const { inFlight } = this.server
    if (inFlight === 0) return
    // What is left over must not count for the inputs that the generator shrinks this one to.
    this.server.closeAll()
    await sleep(leftMs)
    await this.open()
    throw new Error(`${inFlight} requests are under way although their caller has left`)
  }

  override async close (): Promise<void> {
    this.server.closeAll()
  }

  private async handle (req: IncomingMessage, res: PipelinedResponse): Promise<void> {
    if (req.url === '/refused') return writeRefusal(req, res, createFailure('unknownService'), { requestId: '', close: false, headers: [] })
    const scope = new RequestScope(this.clock, this.clock.nowMs() + deadlineMs)
    res.once('close', () => scope.cancel('caller'))
    const body = await readRequestBody(req, { length: Number(req.headers['content-length']), maxBytes: maxBodyBytes, scope, sendContinue: () => {} })
    if (body.isErr() || req.url === '/never') return
    const response = { status: 200, headers: [], body: Buffer.alloc(Number(req.url!.slice(1)), 'x'), stream: undefined }
    await new ResponseWriter(res, { response, reserveBytes: () => 0, abort: () => {}, finish: () => {} }, { headers: [], isHead: false }).write()
  }
}
