import { request as requestPlain } from 'node:http'
import { request as requestTls } from 'node:https'
import type { HostReply } from './HostReply.js'

/** A request to the operators' interface of one host. */
interface HostRequest {
  /** `a.b.c.d:port`. */
  readonly address: string
  readonly method: string
  readonly path: string
  readonly body?: unknown
  readonly credential: string
  readonly timeoutMs: number
  /** Certificate authority as PEM, or `true` for those of the system; plain HTTP when undefined. */
  readonly tls?: string | true | undefined
}

const maxResponseBytes = 67_108_864

/** Sends one request and waits for the complete response; never rejects. */
export async function callHost (call: HostRequest): Promise<HostReply> {
  const [host, port] = call.address.split(':')
  const payload = call.body === undefined ? undefined : Buffer.from(JSON.stringify(call.body))
  const options = {
    host,
    port: Number(port),
    method: call.method,
    path: call.path,
    agent: false as const,
    headers: {
      Authorization: `Bearer ${call.credential}`,
      ...(payload === undefined ? {} : { 'Content-Type': 'application/json', 'Content-Length': payload.length })
    },
    ...(typeof call.tls === 'string' ? { ca: call.tls } : {})
  }
  return await new Promise((resolve) => {
    const req = call.tls === undefined ? requestPlain(options) : requestTls(options)
    let connected = false
    const timer = setTimeout(() => req.destroy(new Error(`no response within ${call.timeoutMs} ms`)), call.timeoutMs)
    const finish = (reply: HostReply): void => {
      clearTimeout(timer)
      req.destroy()
      resolve(reply)
    }
    const fail = (err: Error): void => finish({ kind: connected ? 'lost' : 'unreachable', message: err.message })
    // Nothing is sent before the connection, including its TLS handshake, is established.
    req.on('socket', (socket) => socket.once(call.tls === undefined ? 'connect' : 'secureConnect', () => { connected = true }))
    req.on('error', fail)
    let hasResponse = false
    // A response that switches protocols closes the connection without an error.
    req.on('close', () => { if (!hasResponse) fail(new Error('the connection closed without a response')) })
    req.on('response', (res) => {
      hasResponse = true
      const chunks: Buffer[] = []
      let bytes = 0
      res.on('data', (chunk: Buffer) => {
        chunks.push(chunk)
        bytes += chunk.length
        if (bytes > maxResponseBytes) req.destroy(new Error(`the response is larger than ${maxResponseBytes} bytes`))
      })
      res.on('error', fail)
      res.on('end', () => {
        if (res.complete) finish({ kind: 'answer', status: res.statusCode ?? 0, text: Buffer.concat(chunks).toString('utf8') })
        else fail(new Error('the response was truncated'))
      })
    })
    req.end(payload)
  })
}
