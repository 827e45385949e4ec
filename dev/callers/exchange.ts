import { request } from 'node:http'
import type { Agent, IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http'

/** A request to an entry host. */
interface ExchangeOptions {
  /** `a.b.c.d:port` at which the caller connects. */
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers: OutgoingHttpHeaders
  readonly body: Buffer | undefined
  readonly timeoutMs: number
  readonly agent: Agent
}

/** A complete answer, or a failure, whether any part of the request may have reached the host, and the caller's address `a.b.c.d:port`. */
type ExchangeResult =
  | { readonly kind: 'answer', readonly status: number, readonly headers: IncomingHttpHeaders, readonly body: Buffer }
  | { readonly kind: 'failure', readonly sent: boolean, readonly reason: string, readonly client: string }

/** Sends one request; returns a failure instead of throwing. */
export async function exchange (options: ExchangeOptions): Promise<ExchangeResult> {
  return await new Promise((resolve) => {
    const { address, method, path, headers, body, timeoutMs, agent } = options
    const [host, port] = address.split(':')
    const req = request({ host, port, method, path, headers: body === undefined ? headers : { ...headers, 'content-length': body.length }, agent })
    let sent = false
    let client = ''
    let hasEnded = false
    const end = (result: ExchangeResult): void => {
      hasEnded = true
      clearTimeout(timer)
      resolve(result)
    }
    const fail = (reason: string): void => {
      if (hasEnded) return
      req.destroy()
      end({ kind: 'failure', sent, reason, client })
    }
    // After a stall of this process the timer fires before the answer that arrived meanwhile has been read.
    const timer = setTimeout(() => setImmediate(fail, 'timeout'), timeoutMs)
    req.on('socket', (socket) => {
      const recordSent = (): void => {
        sent = true
        client = `${socket.localAddress ?? ''}:${socket.localPort ?? 0}`
      }
      if (socket.connecting) socket.once('connect', recordSent)
      else recordSent()
    })
    let answered = false
    req.on('error', (err: NodeJS.ErrnoException) => { if (!answered) fail(err.code ?? err.message) })
    req.on('response', (res) => {
      answered = true
      const chunks: Buffer[] = []
      res.on('data', (chunk: Buffer) => chunks.push(chunk))
      res.on('error', (err: NodeJS.ErrnoException) => fail(`incomplete:${err.code ?? err.message}`))
      res.on('end', () => end({ kind: 'answer', status: res.statusCode ?? 0, headers: res.headers, body: Buffer.concat(chunks) }))
    })
    req.end(body)
  })
}
