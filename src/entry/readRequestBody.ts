import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { GrowingBuffer } from '../common/GrowingBuffer.js'
import { entryLimits } from './entryLimits.js'
import { RequestBody } from './RequestBody.js'
import type { RequestScope } from './RequestScope.js'

/** Limits and callbacks for reading a body. */
interface ReadOptions {
  /** Declared length; undefined for a chunked body. */
  readonly length: number | undefined
  readonly maxBytes: number
  /** Bodies up to this many bytes are buffered completely; 64 KiB if absent. */
  readonly maxBufferedBytes?: number
  readonly scope: RequestScope
  /** Sends `100 Continue` to a caller that waits for it. */
  readonly sendContinue: () => void
}

const noBytes = Buffer.alloc(0)

/**
 * Buffers a body up to the buffer limit completely. A longer body is left on the connection, except for the bytes
 * that had to be read to determine its length. Failures: `bodyTooLarge`, `requestTimeout`, `deadlineExceeded`, and
 * `badRequest` if the body is incomplete.
 */
export async function readRequestBody (req: IncomingMessage, options: ReadOptions): Promise<Result<RequestBody, Failure>> {
  const { length, maxBytes, maxBufferedBytes: maxHeldBytes = entryLimits.maxBufferedBytes } = options
  if (length === 0) return ok(new RequestBody(noBytes, 0, undefined, maxBytes))
  if (length !== undefined && length > maxBytes) return err(createFailure('bodyTooLarge'))
  if (length !== undefined && length > maxHeldBytes) return ok(new RequestBody(noBytes, length, req, maxBytes, options.sendContinue))
  options.sendContinue()
  return await new Promise((resolve) => new BodyBuffer(req, options, resolve).start())
}

/** Collects chunks until the body ends or exceeds the buffer limit. */
class BodyBuffer {
  private readonly received = new GrowingBuffer()
  private timer: NodeJS.Timeout | undefined

  constructor (
    private readonly req: IncomingMessage,
    private readonly options: ReadOptions,
    private readonly resolve: (result: Result<RequestBody, Failure>) => void
  ) {}

  start (): void {
    this.timer = setTimeout(() => this.settle(err(createFailure('requestTimeout'))), entryLimits.bodyIdleMs)
    this.req.on('data', this.onData)
    this.req.on('end', this.onEnd)
    this.req.on('close', this.onAborted)
    this.req.on('error', this.onAborted)
    this.options.scope.addHook(this.onAborted)
  }

  private readonly onData = (chunk: Buffer): void => {
    this.timer?.refresh()
    this.received.append(chunk)
    if (this.received.length > this.options.maxBytes) return this.settle(err(createFailure('bodyTooLarge')))
    if (this.received.length <= (this.options.maxBufferedBytes ?? entryLimits.maxBufferedBytes)) return
    this.req.pause()
    this.settle(ok(new RequestBody(this.received.take(), this.options.length, this.req, this.options.maxBytes)))
  }

  private readonly onEnd = (): void => {
    const body = this.received.take()
    this.settle(ok(new RequestBody(body, body.length, undefined, this.options.maxBytes)))
  }

  private readonly onAborted = (): void => {
    const name = this.options.scope.reason === 'deadline' ? 'deadlineExceeded' : 'badRequest'
    this.settle(err(createFailure(name, { message: 'the request body did not arrive completely' })))
  }

  private settle (result: Result<RequestBody, Failure>): void {
    clearTimeout(this.timer)
    this.req.off('data', this.onData)
    this.req.off('end', this.onEnd)
    this.req.off('close', this.onAborted)
    this.req.off('error', this.onAborted)
    if (result.isErr()) this.req.on('error', () => {})
    this.options.scope.removeHook(this.onAborted)
    this.resolve(result)
  }
}
