import { validateHeaderName, validateHeaderValue } from 'node:http'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import * as fc from 'fast-check'
import { Registry } from 'prom-client'
import { PlatformHttpBinding } from '../../platform/PlatformHttpBinding.js'
import { SilentLogger } from '../../platform/SilentLogger.js'
import { DialMap } from '../../src/common/DialMap.js'
import { SystemClock } from '../../src/common/SystemClock.js'
import { endpointLimits } from '../../src/endpoints/endpointLimits.js'
import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import { findHeader } from '../../src/entry/findHeader.js'
import { HttpUpstreamClient } from '../../src/entry/HttpUpstreamClient.js'
import { RequestBody } from '../../src/entry/RequestBody.js'
import type { UpstreamResponse } from '../../src/entry/UpstreamResponse.js'
import { NoticeRecorder } from '../../src/host/NoticeRecorder.js'
import { RejectedInput } from '../../src/metrics/RejectedInput.js'
import { FuzzEdge } from './FuzzEdge.js'
import { mutateText } from './mutateText.js'
import { sleep } from './sleep.js'
import { splitText } from './splitText.js'
import { writeParts } from './writeParts.js'

/** What an endpoint writes in answer to one request, and how. `ID` in the text stands for the id of the request. */
interface ResponseInput {
  readonly text: string
  /** Places at which the text is split into writes. */
  readonly places: readonly number[]
  readonly closes: boolean
  readonly usesNewConnection: boolean
}

/** Time in ms after which an exchange is cancelled, as at a deadline. */
const deadlineMs = 50
/** Time in ms within which a cancelled exchange must end. */
const endMs = 2_000
const maxBufferedBytes = 10_000

const statusLines = fc.constantFrom(
  'HTTP/1.1 200 OK', 'HTTP/1.1 503 Full', 'HTTP/1.1 204 Empty', 'HTTP/1.1 100 Continue', 'HTTP/1.1 101 Switch', 'HTTP/1.1 020 0OK', 'HTTP/1.1 999 Odd', 'HTTP/1.0 200 OK')
const notices = fc.constantFrom('Server-Leaving: 1', 'Server-Leaving: 2', 'Server-Leaving: 1, 1', 'Retry-After: 1.5', 'Retry-After: -1', 'Retry-After: 1e9', 'Retry-After: 31536000', 'Retry-After: Wed, 21 Oct 2037 07:28:00 GMT', 'Server-Limit: 2.5', 'Server-Limit: -1', 'X-Server-Load: 1,2,3', 'X-Server-Load: 9,x')
const others = fc.constantFrom('X-Request-Id: ID', 'X-Request-Id: other', 'X-Server-Signature: s', 'X-Not-Executed: full', 'Connection: close', 'X Odd: 1', ': 1', 'X-A: \u00e9')
const headers = fc.oneof(others, notices)
const bodies = fc.constantFrom('\r\n', 'Content-Length: 0\r\n\r\n', 'Content-Length: 4\r\n\r\nbody', 'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n', `Transfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(9_000)}`)
const response = fc.tuple(statusLines, fc.array(headers, { maxLength: 4 }), bodies).map(([line, list, body]) => `${line}\r\n${list.map((header) => `${header}\r\n`).join('')}${body}`)

/** Responses of endpoints: each request ends, a response that is passed on is its own and can be written, and what it says of its endpoint can be used. */
export class ResponseFuzzEdge extends FuzzEdge<ResponseInput> {
  override readonly name = 'responses'
  override readonly inputs = fc.record({
    text: mutateText(fc.array(response, { minLength: 1, maxLength: 3 }).map((list) => list.join(''))),
    places: fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { maxLength: 3 }),
    closes: fc.boolean(),
    usesNewConnection: fc.boolean()
  })

  private readonly binding = new PlatformHttpBinding()
  private readonly sockets = new Set<Socket>()
  private server!: Server
  private client!: HttpUpstreamClient
  private current: ResponseInput | undefined
  private requests = 0

  override async open (): Promise<void> {
    this.server = createServer((socket) => this.accept(socket))
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve))
    const policy = { connectTimeoutMs: 500, maxBufferedBytes, acceptsUnframedResponse: true, retriesStaleConnection: false }
    this.client = new HttpUpstreamClient({ dial: new DialMap(), clock: new SystemClock(), maxIdle: 4, policy })
  }

  override async check (input: ResponseInput): Promise<void> {
    this.current = input
    const id = `q-${this.requests++}`
    const call = this.client.start({
      address: `127.0.0.1:${(this.server.address() as AddressInfo).port}`,
      method: 'GET',
      path: '/',
      headers: ['X-Request-Id', id],
      body: new RequestBody(Buffer.alloc(0), 0, undefined, 0),
      needsNewConnection: input.usesNewConnection,
      isMatchingResponse: (list, isReused) => this.binding.isAnswerTo(id, list, isReused),
      mayWrite: () => true,
      reserveBytes: () => 0
    })
    const deadline = setTimeout(() => call.cancel('timeout'), deadlineMs)
    const result = await Promise.race([call.response, sleep(endMs)])
    clearTimeout(deadline)
    if (result === undefined) throw new Error('the exchange did not end')
    if (result.isErr() && result.error.exception !== undefined) throw new Error(`an exception ended the exchange: ${result.error.exception}`)
    if (result.isOk()) checkWritable(result.value, id)
    if (result.isOk()) this.checkNotices(result.value)
    if (result.isOk() && result.value.stream !== undefined) call.cancel('cancelled')
  }

  /** What a response says of its endpoint is bounded in time, whatever it says. */
  private checkNotices ({ status, headers: list }: UpstreamResponse): void {
    const clock = new SystemClock()
    const logger = new SilentLogger()
    const nowMs = clock.nowMs()
    const endpoints = new EndpointTable(() => 'north', () => 0)
    endpoints.update([{ id: 'e-0', address: '10.0.0.1:80', service: 'stock', zone: 'north-a', slots: 1, isDraining: false, coldMs: 0, bornAtMs: 1 }], { nowMs, mayHaveLapsed: false })
    const row = endpoints.get('e-0')!
    const { notice } = this.binding.readAnswerMetadata(status, list)
    new NoticeRecorder({ endpoints, clock, logger, rejected: new RejectedInput({ registry: new Registry(), clock, logger }) }).record(row, notice)
    const { backoffUntilMs, leavingSinceMs, rateLimit } = row.announced
    if (!(backoffUntilMs <= clock.nowMs() + endpointLimits.maxBackoffMs)) throw new Error(`an endpoint wants nothing until ${backoffUntilMs}`)
    if (leavingSinceMs !== undefined && findHeader(list, 'server-leaving') === undefined) throw new Error('an endpoint is leaving that did not say so')
    if (rateLimit?.perSecond !== undefined && !(rateLimit.perSecond >= 0)) throw new Error(`an endpoint has a limit of ${rateLimit.perSecond}`)
    if (notice.load !== undefined && !Object.values(notice.load).every((value) => Number.isFinite(value))) throw new Error('a load is no number')
  }

  override async close (): Promise<void> {
    this.client.close()
    for (const socket of this.sockets) socket.destroy()
    this.server.close()
  }

  private accept (socket: Socket): void {
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => this.sockets.delete(socket))
    socket.on('data', (chunk) => {
      const id = /^x-request-id: (.*)$/im.exec(chunk.toString('latin1'))?.[1] ?? ''
      const { text, places, closes } = this.current!
      writeParts(socket, splitText(text.replaceAll('ID', id), places), () => { if (closes) socket.end() })
    })
  }
}

function checkWritable ({ status, headers: list }: UpstreamResponse, id: string): void {
  if (status < 200 || status > 599) throw new Error(`status ${status} can't be passed on`)
  for (let index = 0; index < list.length; index += 2) {
    validateHeaderName(list[index]!)
    validateHeaderValue(list[index]!, list[index + 1]!)
  }
  const echoedId = findHeader(list, 'x-request-id') ?? id
  if (echoedId !== id) throw new Error(`the response to ${echoedId} was passed on for ${id}`)
}
