import { connect } from 'node:net'

const headEnd = Buffer.from('\r\n\r\n')

/** A client on one kept connection that sends idempotent requests before the earlier ones have been answered. */
export class PipeliningClient {
  #buffer = Buffer.alloc(0)
  #chunks = []
  #bytes = 0
  /** Number of bytes that must have arrived before another response can be complete. */
  #neededBytes = 0
  #waiting = []
  #responses = 0

  /** `bytesPerSecond` is the rate at which the client takes what it gets, as on a link of that bandwidth. */
  constructor (address, bytesPerSecond = Infinity) {
    const [host, port] = address.split(':')
    this.socket = connect({ host, port: Number(port), noDelay: true })
    this.socket.on('data', (chunk) => {
      this.#receive(chunk)
      if (bytesPerSecond === Infinity) return
      this.socket.pause()
      setTimeout(() => this.socket.resume(), chunk.length / bytesPerSecond * 1_000)
    })
    this.socket.on('error', (error) => { this.error = error.code })
    this.closed = new Promise((resolve) => this.socket.on('close', () => {
      this.isClosed = true
      for (const { seen, finish } of this.#waiting.splice(0)) {
        Object.assign(seen, { outcome: seen.status === undefined ? 'unanswered' : 'cut', endedAtMs: performance.now() })
        finish(seen)
      }
      resolve()
    }))
  }

  /** Number of responses that have arrived completely. */
  get responses () {
    return this.#responses
  }

  /** Sends a request and resolves to what the client saw of it. */
  send ({ path, host, id, deadlineMs, headers = {} }) {
    const lines = { Host: host, 'X-Request-Id': id, 'X-Deadline-Ms': deadlineMs, ...headers }
    const text = Object.entries(lines).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    const seen = { id, path, sentAtMs: performance.now() }
    const answered = new Promise((resolve) => this.#waiting.push({ seen, finish: resolve }))
    this.socket.write(`GET ${path} HTTP/1.1\r\n${text}\r\n`)
    return answered
  }

  close () {
    this.socket.destroy()
  }

  #receive (chunk) {
    this.#chunks.push(chunk)
    this.#bytes += chunk.length
    if (this.#bytes < this.#neededBytes) return
    this.#buffer = Buffer.concat(this.#chunks)
    this.#neededBytes = 0
    while (this.#readResponse());
    this.#chunks = [this.#buffer]
    this.#bytes = this.#buffer.length
  }

  /** Takes one complete response off the buffer; returns false when there is none. */
  #readResponse () {
    const end = this.#buffer.indexOf(headEnd)
    if (end < 0 || this.#waiting.length === 0) return false
    const { seen, finish } = this.#waiting[0]
    const [status, ...lines] = this.#buffer.subarray(0, end).toString('latin1').split('\r\n')
    const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
    Object.assign(seen, { status: Number(status.split(' ')[1]), headers })
    const body = headers['content-length'] === undefined ? this.#readChunks(end + headEnd.length) : this.#readLength(end + headEnd.length, Number(headers['content-length']))
    if (body === undefined) return false
    this.#buffer = this.#buffer.subarray(body.next)
    this.#neededBytes = 0
    this.#waiting.shift()
    this.#responses += 1
    finish(Object.assign(seen, { outcome: 'answered', body: body.bytes, endedAtMs: performance.now() }))
    return true
  }

  #readLength (start, length) {
    this.#neededBytes = start + length
    return this.#buffer.length < start + length ? undefined : { bytes: this.#buffer.subarray(start, start + length), next: start + length }
  }

  #readChunks (start) {
    const chunks = []
    for (let at = start; ;) {
      const lineEnd = this.#buffer.indexOf('\r\n', at)
      if (lineEnd < 0) return undefined
      const length = parseInt(this.#buffer.subarray(at, lineEnd).toString('latin1'), 16)
      const next = lineEnd + 2 + length + 2
      if (this.#buffer.length < next) return undefined
      if (length === 0) return { bytes: Buffer.concat(chunks), next }
      chunks.push(this.#buffer.subarray(lineEnd + 2, lineEnd + 2 + length))
      at = next
    }
  }
}
