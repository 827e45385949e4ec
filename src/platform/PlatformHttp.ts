import { Agent, request } from 'node:http'
import type { ClientRequest, IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { DialMap } from '../common/DialMap.js'
import type { Failure } from '../common/Failure.js'
import { Outcome } from '../common/Outcome.js'

/** How to reach the platform. */
interface PlatformHttpOptions {
  readonly url: string
  /** Time in ms for a whole call. */
  readonly timeoutMs: number
  readonly dial: DialMap
}

/** One call to the platform. */
interface PlatformCall {
  readonly method: 'GET' | 'PUT' | 'POST'
  readonly path: string
  readonly body?: Buffer
  readonly contentType?: string
}

/** A complete response. */
interface PlatformResponse {
  readonly status: number
  readonly body: Buffer
}

/** What became of a call's connection. */
interface CallState {
  /** Bytes may have reached the platform. */
  sent: boolean
  /** The call failed on a connection that had carried another call before. */
  reused: boolean
}

const maxResponseBytes = 16_777_216
const maxSockets = 8
const defaultPort = '80'
const serverErrorStatus = 500

/**
 * Calls the platform over HTTP. A failed call says `not-run` when no byte can have reached the platform or when it
 * was a read, and `unknown` otherwise. Server errors count as unknown, since the platform may have failed after the write.
 */
export class PlatformHttp {
  private readonly base: URL
  private readonly agent = new Agent({ keepAlive: true, maxSockets, maxFreeSockets: 1 })

  constructor (private readonly options: PlatformHttpOptions) {
    this.base = new URL(options.url)
  }

  async call (call: PlatformCall): Promise<Result<PlatformResponse, Failure>> {
    const state = { sent: false, reused: false }
    let result = await this.exchange(call, state)
    // The platform may close an idle connection at the moment of its reuse; a read can simply be sent again.
    if (result.isErr() && call.method === 'GET' && state.reused) result = await this.exchange(call, state)
    if (result.isErr() || result.value.status < serverErrorStatus) return result
    return err(describeLoss(call, true, `status ${result.value.status}`))
  }

  close (): void {
    this.agent.destroy()
  }

  private async exchange (call: PlatformCall, state: CallState): Promise<Result<PlatformResponse, Failure>> {
    return await new Promise((resolve) => {
      Object.assign(state, { sent: false, reused: false })
      const req = this.open(call)
      const timer = setTimeout(() => req.destroy(new Error(`no answer within ${this.options.timeoutMs} ms`)), this.options.timeoutMs)
      const finish = (result: Result<PlatformResponse, Failure>): void => {
        clearTimeout(timer)
        resolve(result)
      }
      const fail = (error: Error): void => {
        state.reused = req.reusedSocket && (error as NodeJS.ErrnoException).code === 'ECONNRESET'
        finish(err(describeLoss(call, state.sent, error.message)))
      }
      trackSending(req, state)
      req.on('error', fail)
      req.on('response', (res) => readBody(res, (body) => finish(ok({ status: res.statusCode ?? 0, body })), fail))
      req.end(call.body)
    })
  }

  private open (call: PlatformCall): ClientRequest {
    const { host, port } = this.options.dial.resolve(`${this.base.hostname}:${this.base.port || defaultPort}`)
    const headers: Record<string, string | number> = { host: this.base.host }
    if (call.body !== undefined) {
      headers['content-length'] = call.body.length
      headers['content-type'] = call.contentType ?? 'application/json'
    }
    return request({ host, port, method: call.method, path: call.path, headers, agent: this.agent })
  }
}

/** Bytes can reach the platform as soon as the socket is connected; a reused socket is connected at once. */
function trackSending (req: ClientRequest, state: CallState): void {
  req.on('socket', (socket) => {
    if (!socket.connecting) {
      state.sent = true
      return
    }
    socket.once('connect', () => { state.sent = true })
  })
}

function readBody (res: IncomingMessage, finish: (body: Buffer) => void, fail: (err: Error) => void): void {
  const chunks: Buffer[] = []
  let bytes = 0
  res.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes > maxResponseBytes) res.destroy(new Error(`the answer is over ${maxResponseBytes} bytes`))
    else chunks.push(chunk)
  })
  res.on('error', fail)
  res.on('aborted', () => fail(new Error('the answer broke off')))
  res.on('end', () => finish(Buffer.concat(chunks)))
}

function describeLoss (call: PlatformCall, sent: boolean, detail: string): Failure {
  const message = `platform call ${call.method} ${call.path} failed: ${detail}`
  if (call.method === 'GET' || !sent) return createFailure('platformUnavailable', { message })
  return createFailure('writeUnknown', { outcome: Outcome.unknown, message })
}
