import type { ClientRequest, IncomingMessage } from 'node:http'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { Outcome } from '../common/Outcome.js'
import { entryLimits } from './entryLimits.js'
import type { RequestBody } from './RequestBody.js'

/** What a pump needs besides its two ends. */
interface UploadPumpOptions {
  readonly body: RequestBody
  readonly rest: IncomingMessage
  readonly target: ClientRequest
  readonly reserveBytes: (bytes: number) => number
  readonly onFailure: (failure: Failure) => void
}

/** Passes the rest of a body on with back-pressure; holds at most one chunk besides the sockets' buffers. */
export class UploadPump {
  private bytes: number
  private readonly timer: NodeJS.Timeout
  private waitTimer: NodeJS.Timeout | undefined

  constructor (private readonly options: UploadPumpOptions) {
    this.bytes = options.body.bytes.length
    this.timer = setTimeout(() => this.fail('requestTimeout'), entryLimits.bodyIdleMs)
  }

  start (): void {
    const { body, rest, target } = this.options
    rest.on('data', this.onData)
    rest.on('end', this.onEnd)
    rest.on('close', this.onClose)
    target.on('drain', this.onDrain)
    body.beginRest()
    rest.resume()
  }

  stop (): void {
    const { rest, target } = this.options
    clearTimeout(this.timer)
    clearTimeout(this.waitTimer)
    rest.off('data', this.onData)
    rest.off('end', this.onEnd)
    rest.off('close', this.onClose)
    target.off('drain', this.onDrain)
    rest.pause()
  }

  private readonly onData = (chunk: Buffer): void => {
    const { body, rest } = this.options
    body.started = true
    this.bytes += chunk.length
    if (this.bytes > body.maxBytes) return this.fail('bodyTooLarge')
    const waitMs = this.options.reserveBytes(chunk.length)
    if (waitMs <= 0) return this.pass(chunk)
    rest.pause()
    this.waitTimer = setTimeout(() => {
      rest.resume()
      this.pass(chunk)
    }, waitMs)
  }

  private pass (chunk: Buffer): void {
    this.timer.refresh()
    if (!this.options.target.write(chunk)) this.options.rest.pause()
  }

  private readonly onDrain = (): void => {
    this.timer.refresh()
    this.options.rest.resume()
  }

  private readonly onEnd = (): void => {
    this.stop()
    this.options.target.end()
  }

  private readonly onClose = (): void => {
    if (!this.options.rest.complete) this.fail('badRequest')
  }

  // The body is partly sent, so the endpoint may act on what it has.
  private fail (name: 'requestTimeout' | 'bodyTooLarge' | 'badRequest'): void {
    this.stop()
    this.options.onFailure(createFailure(name, { outcome: Outcome.unknown }))
  }
}
