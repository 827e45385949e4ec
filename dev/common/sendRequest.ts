import { request } from 'node:http'
import type { Agent, IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http'

/** Optional parts of a request. */
interface RequestOptions {
  readonly method?: string
  readonly headers?: OutgoingHttpHeaders
  readonly body?: string | Buffer
  /** Time in ms for the whole exchange; default 30 s. */
  readonly timeoutMs?: number
  /** Without an agent the connection is used once. */
  readonly agent?: Agent
  /** Own address of the connection. */
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
 * @throws {Error} when the connection fails, the answer is incomplete or the time has passed
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
