import { request } from 'node:http'
import type { Agent, IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http'

/** Options of a request. */
interface RequestOptions {
  readonly method?: string
  readonly headers?: OutgoingHttpHeaders
  readonly body?: string | Buffer
  /** Time in ms for the whole exchange; default 30 s. */
  readonly timeoutMs?: number
  /** Agent that reuses connections; without one, each request opens its own connection. */
  readonly agent?: Agent
  /** Local address to connect from. */
  readonly localAddress?: string
}

/** A complete answer. */
interface RequestAnswer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

/**
 * Sends one HTTP request and waits for the complete answer.
 * @throws {Error} when the connection fails, the answer is incomplete or the request times out
 */
export async function sendRequest (url: string, options: RequestOptions = {}): Promise<RequestAnswer> {
  return await new Promise((resolve, reject) => {
    const { method = 'GET', headers = {}, body, timeoutMs = 30_000, agent, localAddress } = options
    const req = request(url, {
      method,
      headers: body === undefined ? headers : { 'content-length': Buffer.byteLength(body), ...headers },
      agent: agent ?? false,
      ...(localAddress === undefined ? {} : { localAddress })
    })
    const timer = setTimeout(() => req.destroy(new Error(`no complete answer from ${url} within ${timeoutMs} ms`)), timeoutMs)
    const fail = (err: Error): void => {
      clearTimeout(timer)
      reject(err)
    }
    req.on('error', fail)
    req.on('response', (res) => {
      const chunks: Buffer[] = []
      res.on('data', (chunk: Buffer) => chunks.push(chunk))
      res.on('error', fail)
      res.on('end', () => {
        clearTimeout(timer)
        resolve({ status: res.statusCode ?? 0, headers: res.headers, body: Buffer.concat(chunks) })
      })
    })
    req.end(body)
  })
}
