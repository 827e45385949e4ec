import type { IncomingMessage } from 'node:http'
import { AttemptResult } from '../steer/AttemptResult.js'
import { copyResponseHeaders } from './copyResponseHeaders.js'
import { endAfterDiscardingBody } from './endAfterDiscardingBody.js'
import { hasUnreadBody } from './hasUnreadBody.js'
import type { OpenResponse } from './OpenResponse.js'
import type { PipelinedResponse } from './PipelinedResponse.js'

/** Options for writing a response. */
interface ResponseOptions {
  /** Headers to add; names and values in turn. */
  readonly headers: readonly string[]
  readonly isHead: boolean
  /** Reserves bytes on the link to the receiver and returns the ms to wait before they may be sent. */
  readonly reserveBytes?: ((bytes: number) => number) | undefined
}

const maxStringBytes = 8_192

/** Writes one response when its turn has come: at once if it is buffered, otherwise as a stream with back-pressure and at most one chunk in memory. */
export class ResponseWriter {
  private resolve!: (isComplete: boolean) => void
  private timer: NodeJS.Timeout | undefined
  private isEnded = false
  /** True while a chunk waits for bandwidth; later chunks must not overtake it. */
  private isDelayed = false

  constructor (
    private readonly res: PipelinedResponse,
    private readonly openResponse: OpenResponse,
    private readonly options: ResponseOptions
  ) {}

  /**
   * Resolves to true if the complete response was received and written. With false and no head written, the response broke off while
   * it waited for its turn, and the connection can carry a refusal in its place.
   */
  async write (): Promise<boolean> {
    const { response: answer } = this.openResponse
    const headers = copyResponseHeaders(answer.headers)
    // The rest of the request body would follow on the connection.
    if (hasUnreadBody(this.res.req)) this.res.shouldKeepAlive = false
    if (!this.res.hasTurn && !await this.waitForTurn()) return this.abandon(AttemptResult.cancelled)
    if (answer.stream?.destroyed === true) return this.abandon(AttemptResult.broken)
    if (answer.stream === undefined) return this.writeBuffered(headers)
    headers.push(...this.options.headers)
    this.res.writeHead(answer.status, headers)
    if (answer.body.length > 0) this.res.write(answer.body)
    return await new Promise((resolve) => {
      this.resolve = resolve
      this.stream(answer.stream!)
    })
  }

  private async waitForTurn (): Promise<boolean> {
    const { body, stream } = this.openResponse.response
    // The end of the caller's connection is noticed only while the connection is read.
    if (stream === undefined && hasUnreadBody(this.res.req)) this.res.req.resume()
    return await this.res.waitForTurn(body.length)
  }

  /** Gives up a response of which nothing has been written. */
  private abandon (result: AttemptResult): boolean {
    if (this.openResponse.response.stream !== undefined) {
      this.openResponse.finish(result)
      this.openResponse.abort()
    }
    return false
  }

  private writeBuffered (headers: string[]): boolean {
    const { status, body } = this.openResponse.response
    const hasBody = !this.options.isHead && status !== 204 && status !== 304
    const all = hasBody ? replaceLength(headers, body.length) : headers
    all.push(...this.options.headers)
    this.res.writeHead(status, all)
    if (hasUnreadBody(this.res.req)) {
      if (body.length > 0) this.res.write(body)
      endAfterDiscardingBody(this.res)
      return true
    }
    // Node.js sends a short string together with the headers; a buffer would be written as a second chunk.
    if (body.length > 0 && body.length <= maxStringBytes) this.res.end(body.toString('latin1'), 'latin1')
    else this.res.end(body.length === 0 ? undefined : body)
    return true
  }

  private stream (source: IncomingMessage): void {
    source.on('data', (chunk: Buffer) => this.receive(source, chunk))
    source.on('end', () => this.onSourceEnd(source))
    source.on('close', () => this.onSourceEnd(source))
    source.on('error', () => this.end(false))
    this.res.on('drain', () => { if (!this.isDelayed) source.resume() })
    this.res.on('close', () => this.end(false))
    source.resume()
  }

  private receive (source: IncomingMessage, chunk: Buffer): void {
    const waitMs = this.options.reserveBytes?.(chunk.length) ?? 0
    if (waitMs <= 0) return this.forward(source, chunk)
    source.pause()
    this.isDelayed = true
    this.timer = setTimeout(() => {
      this.isDelayed = false
      this.forward(source, chunk)
    }, waitMs)
  }

  // The end event may arrive while the last chunk still waits for bandwidth.
  private onSourceEnd (source: IncomingMessage): void {
    const isComplete = source.complete && source.readableEnded
    if (!isComplete || !this.isDelayed) this.end(isComplete)
  }

  private forward (source: IncomingMessage, chunk: Buffer): void {
    const hasRoom = this.res.write(chunk)
    if (source.readableEnded) this.onSourceEnd(source)
    else if (!hasRoom) source.pause()
    else if (source.isPaused()) source.resume()
  }

  private end (isComplete: boolean): void {
    if (this.isEnded) return
    this.isEnded = true
    clearTimeout(this.timer)
    if (isComplete) {
      this.res.end()
      this.openResponse.finish(AttemptResult.ok)
    } else {
      // Closing the connection prevents the receiver from treating a truncated response as complete.
      this.openResponse.finish(this.res.destroyed ? AttemptResult.cancelled : AttemptResult.broken)
      this.res.destroy()
      this.openResponse.abort()
    }
    this.resolve(isComplete)
  }
}

function replaceLength (headers: readonly string[], length: number): string[] {
  const all: string[] = []
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() !== 'content-length') all.push(headers[index]!, headers[index + 1]!)
  }
  all.push('Content-Length', String(length))
  return all
}
