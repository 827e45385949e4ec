import type { ClientRequest, IncomingMessage } from 'node:http'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { Outcome } from '../common/Outcome.js'
import { entryLimits } from './entryLimits.js'
import type { RequestBody } from './RequestBody.js'

/** Source, target and limits of an upload. */
interface BodyUploaderOptions {
  readonly body: RequestBody
  readonly source: IncomingMessage
  readonly target: ClientRequest
  readonly reserveBytes: (bytes: number) => number
  readonly onFailure: (failure: Failure) => void
}

/**
 * Interval in ms for checking the reservation again. Without it, a host without bandwidth of its own waited 18 hours,
 * although it borrowed some shortly after.
 */
const recheckIntervalMs = 100

/** Forwards the stream of a body with back-pressure; keeps at most one chunk in memory besides the socket buffers. */
export class BodyUploader {
  private receivedBytes: number
  /** Runs only while the source is not paused. */
  private idleTimer: NodeJS.Timeout | undefined
  private waitTimer: NodeJS.Timeout | undefined
  private isWaiting = false
  private isEnded = false

  constructor (private readonly options: BodyUploaderOptions) {
    this.receivedBytes = options.body.bytes.length
  }

  start (): void {
    const { body, source, target } = this.options
    source.on('data', this.onData)
    source.on('end', this.onEnd)
    source.on('close', this.onClose)
    target.on('drain', this.onDrain)
    source.pause()
    body.sendContinue()
    this.resume()
  }

  stop (): void {
    const { source, target } = this.options
    clearTimeout(this.idleTimer)
    clearTimeout(this.waitTimer)
    source.off('data', this.onData)
    source.off('end', this.onEnd)
    source.off('close', this.onClose)
    target.off('drain', this.onDrain)
    source.pause()
  }

  private readonly onData = (chunk: Buffer): void => {
    const { body } = this.options
    body.hasForwardedBytes = true
    this.receivedBytes += chunk.length
    if (this.receivedBytes > body.maxBytes) return this.fail('bodyTooLarge')
    const waitMs = this.options.reserveBytes(chunk.length)
    if (waitMs <= 0) return this.forward(chunk)
    this.pause()
    this.isWaiting = true
    this.wait(chunk, waitMs)
  }

  // Bandwidth that the host borrows meanwhile shortens the wait, so the reservation is checked again with zero bytes.
  private wait (chunk: Buffer, waitMs: number): void {
    const stepMs = Math.min(waitMs, recheckIntervalMs)
    this.waitTimer = setTimeout(() => {
      const remainingMs = waitMs - stepMs
      const nextMs = remainingMs > 0 ? Math.min(remainingMs, this.options.reserveBytes(0)) : 0
      if (nextMs > 0) return this.wait(chunk, nextMs)
      this.isWaiting = false
      this.forward(chunk)
    }, stepMs)
  }

  private forward (chunk: Buffer): void {
    const hasRoom = this.options.target.write(chunk)
    if (this.isEnded) return this.onEnd()
    if (hasRoom) this.resume()
    else this.pause()
  }

  // The buffers may drain while a chunk waits for bandwidth; the next chunk must not overtake it.
  private readonly onDrain = (): void => {
    if (!this.isWaiting) this.resume()
  }

  private resume (): void {
    if (this.idleTimer === undefined) this.idleTimer = setTimeout(() => this.fail('requestTimeout'), entryLimits.bodyIdleMs)
    else this.idleTimer.refresh()
    if (this.options.source.isPaused()) this.options.source.resume()
  }

  private pause (): void {
    clearTimeout(this.idleTimer)
    this.idleTimer = undefined
    this.options.source.pause()
  }

  // The end event may arrive while the last chunk still waits for bandwidth.
  private readonly onEnd = (): void => {
    this.isEnded = true
    if (this.isWaiting) return
    this.stop()
    this.options.target.end()
  }

  private readonly onClose = (): void => {
    if (!this.options.source.complete) this.fail('badRequest')
  }

  // A part of the body has been sent, so the endpoint may have acted on it.
  private fail (name: 'requestTimeout' | 'bodyTooLarge' | 'badRequest'): void {
    this.stop()
    this.options.onFailure(createFailure(name, { outcome: Outcome.unknown }))
  }
}
