import type { Socket } from 'node:net'
import { waitUntil } from './waitUntil.js'

/** Options of a request. */
interface RawRequest {
  readonly object?: string
  /** Length that the head declares for a body; the body itself is not sent. */
  readonly contentLength?: number
  /** Asks the host to close the connection after the response. */
  readonly closes?: boolean
}

/** A response as it arrived on the connection. */
interface RawResponse {
  readonly id: string
  readonly status: number
  /** True when the response announces that the connection closes after it. */
  readonly closes: boolean
}

/** A caller on one connection that sends requests without waiting for responses. */
export class RawCaller {
  received = ''
  /** Resolves when the connection has ended. */
  readonly ended: Promise<void>
  private isClosed = false

  constructor (private readonly socket: Socket) {
    socket.on('data', (chunk: Buffer) => { this.received += chunk.toString('latin1') })
    socket.on('error', () => {})
    this.ended = new Promise((resolve) => socket.once('close', () => {
      this.isClosed = true
      resolve()
    }))
  }

  /** Responses received so far, in order. */
  get responses (): RawResponse[] {
    return this.received.split(/(?=HTTP\/1\.1 )/).filter((text) => text.includes('\r\n\r\n')).map((text) => ({
      id: /^(?:X|Shunt)-Request-Id: (.*)\r$/im.exec(text)?.[1] ?? '',
      status: Number(text.slice('HTTP/1.1 '.length).split(' ', 1)[0]),
      closes: /^Connection: close\r$/im.test(text)
    }))
  }

  send (id: string, path: string, options: RawRequest = {}): void {
    this.sendAll([[id, path, options]])
  }

  /** Sends several requests in one write. */
  sendAll (requests: ReadonlyArray<readonly [id: string, path: string, options: RawRequest]>): void {
    this.sendBytes(requests.map(([id, path, options]) => formatRequest(id, path, options)).join(''))
  }

  sendBytes (text: string): void {
    this.socket.write(text)
  }

  async waitForResponses (count: number): Promise<void> {
    await waitUntil(() => this.responses.length >= count || this.isClosed, () => `; received:\n${this.received}`)
  }

  close (): void {
    this.socket.destroy()
  }
}

function formatRequest (id: string, path: string, { object = '7', contentLength, closes = false }: RawRequest): string {
  const lines = [
    `GET ${path} HTTP/1.1`, 'Host: shop.example', `X-Request-Id: ${id}`, `Cookie: X-Affinity-Key=${object}`, 'X-Deadline-Ms: 2000',
    ...(contentLength === undefined ? [] : [`Content-Length: ${contentLength}`]),
    ...(closes ? ['Connection: close'] : [])
  ]
  return `${lines.join('\r\n')}\r\n\r\n`
}
